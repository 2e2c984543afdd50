package io.poplarwood.entry.settings

import kotlinx.serialization.Serializable

/** PEM files of a listener's key (PKCS #8) and certificate chain; read again when they change. */
@Serializable
data class TlsFiles(val key: String, val certificate: String)
