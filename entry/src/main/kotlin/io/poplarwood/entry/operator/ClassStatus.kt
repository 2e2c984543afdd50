package io.poplarwood.entry.operator

import io.poplarwood.api.work.Rank
import io.poplarwood.api.work.Target
import kotlinx.serialization.Serializable

/**
 * A class's target and what the responding entry measured in the last minute.
 *
 * @property servedPart fraction of the requests served within the target's time; null without such a target or requests
 * @property p99Ms 99th percentile of the time from a request's arrival to the end of its answer, in milliseconds; null
 *   without requests
 * @property share fraction of the service's slots that the class used
 */
@Serializable
data class ClassStatus(
    val service: String,
    val name: String,
    val rank: Rank,
    val target: Target,
    val requests: Long,
    val refused: Long,
    val servedPart: Double? = null,
    val p99Ms: Double? = null,
    val share: Double? = null,
) {
    /** Whether the time target is met; null when there is no such target or nothing was measured. */
    val met: Boolean? get() = if (target.servedWithinMs == null) null else servedPart?.let { it >= target.servedPart }
}
