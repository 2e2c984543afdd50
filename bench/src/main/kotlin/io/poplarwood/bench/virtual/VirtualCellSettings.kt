package io.poplarwood.bench.virtual

import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/**
 * Shape of a [VirtualCell].
 *
 * The mean service time of 10 ms follows from the target size: 2.8 million calls/s over 11,000 upstreams are 254
 * calls/s each, which at 3 to 6 slots and 60% load is 7 to 14 ms.
 *
 * @property slots slots of each upstream
 * @property betweenZones one-way delay between zones
 * @property shedCost work that a shed response costs an upstream, since sheds count as load; half of the 1 ms that a
 *   new connection costs
 */
data class VirtualCellSettings(
    val entries: Int = 16,
    val upstreams: Int = 20,
    val slots: Int = 3,
    val zones: Int = 3,
    val seed: Long = 1,
    val times: ServiceTimes = ServiceTimes.exponential(MEAN_SERVICE),
    val whenFull: WhenFull = WhenFull.SHED,
    val betweenZones: Duration = 1.milliseconds,
    val withinZone: Duration = ZERO,
    val shedCost: Duration = 500.microseconds,
    val connectionLimit: Int = 250,
) {
    companion object {
        /** Mean service time of an upstream at its normal speed. */
        val MEAN_SERVICE: Duration = 10.milliseconds
    }
}
