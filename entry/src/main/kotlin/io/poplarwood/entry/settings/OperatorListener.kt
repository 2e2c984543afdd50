package io.poplarwood.entry.settings

import kotlinx.serialization.Serializable

/**
 * The operators' listener.
 *
 * @property address `host:port` to listen at
 * @property tokenFile bearer tokens, one a line, each after the operator's name and a space
 * @property tls key and certificate; null serves plain HTTP
 */
@Serializable
data class OperatorListener(val address: String, val tokenFile: String, val tls: TlsFiles? = null)
