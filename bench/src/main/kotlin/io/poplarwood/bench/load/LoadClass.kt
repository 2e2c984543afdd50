package io.poplarwood.bench.load

import io.poplarwood.api.id.ServiceName
import kotlin.time.Duration

/**
 * Requests of one kind that arrive independently of how earlier ones fare.
 *
 * @property name label in reports
 * @property perSecond mean rate; arrivals are random
 * @property work service time asked of the stand-in upstream
 * @property bodyBytes length of the request's body; 0 for none
 * @property keyed whether requests carry an idempotency key
 * @property surge factor on the rate between [surgeFrom] and [surgeTo], times since the start
 * @property target time within which [targetPart] of the requests is to be served; null for none
 */
data class LoadClass(
    val name: String,
    val service: ServiceName,
    val method: String,
    val path: String,
    val perSecond: Double,
    val work: Duration,
    val bodyBytes: Int = 0,
    val keyed: Boolean = false,
    val surge: Double = 1.0,
    val surgeFrom: Duration = Duration.ZERO,
    val surgeTo: Duration = Duration.ZERO,
    val target: Duration? = null,
    val targetPart: Double = 0.99,
) {
    /** Rate at [since] the start. */
    fun rateAt(since: Duration): Double = if (since >= surgeFrom && since < surgeTo) perSecond * surge else perSecond
}
