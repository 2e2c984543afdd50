package io.poplarwood.standins.upstream

import kotlinx.serialization.Serializable

/**
 * Body of a stand-in upstream's answer.
 *
 * @property upstream address of the upstream that ran the request
 * @property token text of the request's header [StandInHeaders.TOKEN]
 * @property path path and query of the request
 * @property bodyBytes length of the request's body as it arrived
 * @property bodyDigest SHA-256 of that body in hexadecimal digits
 * @property run how often this upstream has run the request's idempotency key, this run included; 0 without a key
 */
@Serializable
data class RunAnswer(
    val upstream: String,
    val token: String?,
    val method: String,
    val path: String,
    val bodyBytes: Long,
    val bodyDigest: String,
    val run: Int,
)
