package io.poplarwood.entry.forward

import io.ktor.http.Headers
import io.ktor.utils.io.ByteReadChannel

/**
 * Head of an upstream's response, and its body, which is read as it arrives.
 *
 * @property address `ip:port` of the upstream
 * @property length declared length of the body in bytes; null when the last chunk or the connection's end delimits it
 */
internal class UpstreamResponse(
    val address: String,
    val status: Int,
    val headers: Headers,
    val length: Long?,
    val body: ByteReadChannel,
)
