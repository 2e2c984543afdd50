package io.poplarwood.api.work

import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What operators ask of a class. At least one of [servedWithinMs] and [keepShare] is set.
 *
 * @property servedWithinMs time from arrival to the end of the answer, in milliseconds
 * @property servedPart part of the requests, 0..1, that must be served within that time
 * @property keepShare part of the service's capacity, 0..1, that the class keeps while others flood
 */
@Serializable
data class Target(val servedWithinMs: Long? = null, val servedPart: Double = 0.99, val keepShare: Double? = null) {
    /** [servedWithinMs] as a duration. */
    val servedWithin: Duration? get() = servedWithinMs?.milliseconds
}
