package io.poplarwood.entry.forward

import io.ktor.http.Headers
import io.ktor.utils.io.ByteReadChannel

/**
 * Head of an upstream's answer and its body as it arrives.
 *
 * @property address `ip:port` of the upstream
 * @property length declared length of the body; null when it ends with the last chunk or the connection
 */
internal class UpstreamResponse(
    val address: String,
    val status: Int,
    val headers: Headers,
    val length: Long?,
    val body: ByteReadChannel,
)
