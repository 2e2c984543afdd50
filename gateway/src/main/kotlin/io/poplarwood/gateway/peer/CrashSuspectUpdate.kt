package io.poplarwood.gateway.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Crash records of the requests with one fingerprint, as sent to other entries and stored.
 *
 * @property losses upstreams that ended, or may have ended, while they ran such a request
 * @property seenMs time since such a request last arrived, in milliseconds
 * @property clearedMs time since a successful reply cleared earlier losses, in milliseconds; null when none did
 * @property survived ids of losses whose upstream has survived the request
 */
@Serializable
internal data class CrashSuspectUpdate(
    @SerialName("f") val fingerprint: Long,
    @SerialName("l") val losses: List<CrashLossUpdate>,
    @SerialName("n") val seenMs: Long = 0,
    @SerialName("x") val clearedMs: Long? = null,
    @SerialName("d") val survived: List<Long> = emptyList(),
)

/**
 * One loss of an upstream while it ran a request.
 *
 * @property id identifies this loss at all entries
 * @property sinceMs time since the request was sent to [upstream], in milliseconds
 * @property agoMs time since the request lost [upstream], in milliseconds
 * @property confirmed whether [upstream] is known to have ended
 * @property startMs start of the incarnation of [upstream] in milliseconds since the epoch, 0 when unknown
 * @property endSeen whether the connection to [upstream] broke when the request lost it
 * @property provenMs time since [upstream] was shown to be running, in milliseconds; null when it was not
 * @property runsForMs time for which [upstream] may still execute the request, in milliseconds
 */
@Serializable
internal data class CrashLossUpdate(
    @SerialName("i") val id: Long,
    @SerialName("u") val upstream: String,
    @SerialName("s") val sinceMs: Long,
    @SerialName("a") val agoMs: Long,
    @SerialName("c") val confirmed: Boolean,
    @SerialName("b") val startMs: Long = 0,
    @SerialName("e") val endSeen: Boolean = true,
    @SerialName("r") val runsForMs: Long = 0,
    @SerialName("p") val provenMs: Long? = null,
)
