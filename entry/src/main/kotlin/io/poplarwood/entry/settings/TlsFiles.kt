package io.poplarwood.entry.settings

import kotlinx.serialization.Serializable

/** PEM files of a listener's private key (PKCS #8) and certificate chain; loaded again when they change. */
@Serializable
data class TlsFiles(val key: String, val certificate: String)
