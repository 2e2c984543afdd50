package io.poplarwood.standins.upstream

import kotlinx.serialization.Serializable

/**
 * Response body of a stand-in upstream.
 *
 * @property upstream address of the upstream that ran the request
 * @property token value of the request header [StandInHeaders.TOKEN]
 * @property path path and query of the request
 * @property bodyBytes length of the request body as received, in bytes
 * @property bodyDigest SHA-256 of the request body as received, in hexadecimal
 * @property run number of times this upstream has run the request's idempotency key, this run included; 0 without a key
 */
@Serializable
data class RunResponse(
    val upstream: String,
    val token: String?,
    val method: String,
    val path: String,
    val bodyBytes: Long,
    val bodyDigest: String,
    val run: Int,
)
