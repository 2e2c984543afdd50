package io.poplarwood.api.work

import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Service-level target of a class. At least one of [servedWithinMs] and [keepShare] is set.
 *
 * @property servedWithinMs target time from the arrival of a request to the end of the response, in milliseconds
 * @property servedPart fraction of the requests, 0..1, that must be served within [servedWithinMs]
 * @property keepShare fraction of the service's capacity, 0..1, reserved for the class while other classes
 *   overload the service
 */
@Serializable
data class Target(val servedWithinMs: Long? = null, val servedPart: Double = 0.99, val keepShare: Double? = null) {
    /** [servedWithinMs] as a duration. */
    val servedWithin: Duration? get() = servedWithinMs?.milliseconds
}
