package io.poplarwood.gateway.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What one entry tells another of requests with one fingerprint. */
@Serializable
internal data class CrashSuspectNews(
    @SerialName("f") val fingerprint: Long,
    @SerialName("l") val losses: List<CrashLossNews>,
)

/**
 * One loss of an upstream under a request.
 *
 * @property id names this loss at all entries
 * @property sinceMs time since the request was sent there or lost another upstream, in milliseconds
 * @property agoMs time since it lost this one, in milliseconds
 * @property confirmed the upstream has ended
 */
@Serializable
internal data class CrashLossNews(
    @SerialName("i") val id: Long,
    @SerialName("u") val upstream: String,
    @SerialName("s") val sinceMs: Long,
    @SerialName("a") val agoMs: Long,
    @SerialName("c") val confirmed: Boolean,
)
