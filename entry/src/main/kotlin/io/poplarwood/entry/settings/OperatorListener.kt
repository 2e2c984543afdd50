package io.poplarwood.entry.settings

import kotlinx.serialization.Serializable

/**
 * Settings of the operators' listener.
 *
 * @property address `host:port` to listen on
 * @property tokenFile file of bearer tokens; each line holds an operator's name, a space and a token
 * @property tls key and certificate; null serves plain HTTP
 */
@Serializable
data class OperatorListener(val address: String, val tokenFile: String, val tls: TlsFiles? = null)
