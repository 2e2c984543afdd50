package io.poplarwood.gateway.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What one entry tells another of requests with one fingerprint.
 *
 * @property losses upstreams that ended, or seem to have, under such requests
 * @property seenMs time since one came last, in milliseconds
 * @property clearedMs time since an answer cleared earlier losses, in milliseconds; null when none did
 */
@Serializable
internal data class CrashSuspectUpdate(
    @SerialName("f") val fingerprint: Long,
    @SerialName("l") val losses: List<CrashLossUpdate>,
    @SerialName("n") val seenMs: Long = 0,
    @SerialName("x") val clearedMs: Long? = null,
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
internal data class CrashLossUpdate(
    @SerialName("i") val id: Long,
    @SerialName("u") val upstream: String,
    @SerialName("s") val sinceMs: Long,
    @SerialName("a") val agoMs: Long,
    @SerialName("c") val confirmed: Boolean,
)
