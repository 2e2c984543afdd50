package io.poplarwood.gateway.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Crash records of the requests with one fingerprint, as sent to other entries and stored.
 *
 * @property losses upstreams that ended, or appear to have ended, while they ran such a request
 * @property seenMs time since such a request last arrived, in milliseconds
 * @property clearedMs time since a successful reply cleared earlier losses, in milliseconds; null when none did
 */
@Serializable
internal data class CrashSuspectUpdate(
    @SerialName("f") val fingerprint: Long,
    @SerialName("l") val losses: List<CrashLossUpdate>,
    @SerialName("n") val seenMs: Long = 0,
    @SerialName("x") val clearedMs: Long? = null,
)

/**
 * One loss of an upstream while it ran a request.
 *
 * @property id identifies this loss at all entries
 * @property sinceMs time since the request was sent to [upstream] or lost another upstream, in milliseconds
 * @property agoMs time since the request lost [upstream], in milliseconds
 * @property confirmed whether [upstream] is known to have ended
 */
@Serializable
internal data class CrashLossUpdate(
    @SerialName("i") val id: Long,
    @SerialName("u") val upstream: String,
    @SerialName("s") val sinceMs: Long,
    @SerialName("a") val agoMs: Long,
    @SerialName("c") val confirmed: Boolean,
)
