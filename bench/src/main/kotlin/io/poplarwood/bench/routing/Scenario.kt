package io.poplarwood.bench.routing

import io.poplarwood.bench.virtual.VirtualCell
import io.poplarwood.bench.virtual.VirtualCellSettings
import io.poplarwood.bench.virtual.WhenFull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * One load that every policy gets.
 *
 * @property load mean arrivals as a share of the capacity that is left after [slowed] upstreams turned threefold slower
 * @property slowed share of the upstreams that turn slow at the start of the measured part
 * @property bursts whether arrivals alternate between half the mean and three halves, 50 ms each
 * @property shedCost work that a shed response costs an upstream
 * @property failing upstreams that answer errors at once from the start of the measured part
 */
data class Scenario(
    val name: String,
    val load: Double,
    val slots: Int = 3,
    val upstreams: Int = 20,
    val slowed: Double = 0.0,
    val bursts: Boolean = false,
    val failing: Int = 0,
    val whenFull: WhenFull = WhenFull.SHED,
    val shedCost: Duration = VirtualCellSettings().shedCost,
) {
    /** Upstreams that turn slow. */
    val slowedCount: Int get() = (upstreams * slowed).toInt()

    /** Settings of the cell with [seed]. */
    fun cell(seed: Long): VirtualCellSettings =
        VirtualCellSettings(
            upstreams = upstreams,
            slots = slots,
            whenFull = whenFull,
            shedCost = shedCost,
            seed = seed,
        )

    /** Arrivals a second at [at]; the measured part starts at [WARM_UP]. */
    fun perSecond(at: Duration): Double {
        val capacity = slots * MICROS_PER_SECOND / VirtualCellSettings.MEAN_SERVICE.inWholeMicroseconds
        val slow = if (at >= WARM_UP) slowedCount else 0
        val working = upstreams - (if (at >= WARM_UP) failing else 0)
        val mean = load * capacity * (working - slow + slow / SLOWDOWN)
        if (!bursts) return mean
        val high = at.inWholeMilliseconds / BURST_MS % 2 == 1L
        return mean * if (high) HIGH else LOW
    }

    /** Makes the upstreams of [cell] slow or failing at the start of the measured part. */
    fun schedule(cell: VirtualCell) {
        cell.loop.after(WARM_UP) {
            // Every fifth is slow, so that the slow ones are spread over the zones.
            val stride = if (slowedCount == 0) 1 else upstreams / slowedCount
            for (n in 0 until slowedCount) cell.upstreams[n * stride].slowdown = SLOWDOWN
            for (n in 0 until failing) cell.upstreams[n * 2 + 1].failFast = true
        }
    }

    companion object {
        /** Time before the measured part. */
        val WARM_UP: Duration = 5.seconds

        /** Factor on the service time of a slow upstream. */
        const val SLOWDOWN = 3.0
        private const val MICROS_PER_SECOND = 1e6
        private const val BURST_MS = 50L
        private const val HIGH = 1.5
        private const val LOW = 0.5
    }
}
