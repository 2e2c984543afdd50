package io.poplarwood.bench.virtual

import io.poplarwood.api.random.RandomSource
import io.poplarwood.api.random.SplitMix
import io.poplarwood.api.work.Rank
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Poisson arrivals at random entries of [cell].
 *
 * @property perSecond requests a second over all entries, may change with time
 * @property urgent share of requests of the urgent rank
 * @property standard share of requests of the standard rank; the rest is background
 */
class Arrivals(
    private val cell: VirtualCell,
    private val random: RandomSource,
    private val urgent: Double = 0.3,
    private val standard: Double = 0.4,
    private val perSecond: (Duration) -> Double,
) {
    private val entryRandom = SplitMix(random.nextLong())

    /**
     * Starts the arrivals. Those between [measureFrom] and [end] are counted in [outcomes]; none comes after [end].
     *
     * @param offer takes each request; by default a random entry does
     */
    fun start(
        measureFrom: Duration,
        end: Duration,
        outcomes: Outcomes,
        offer: (Rank, Outcomes?) -> Unit = { rank, counted -> anyEntry().offer(rank, counted) },
    ) {
        val now = cell.loop.now()
        cell.loop.after((-ln(1.0 - random.nextDouble()) / perSecond(now)).seconds) {
            val at = cell.loop.now()
            if (at <= end) {
                offer(rank(random.nextDouble()), outcomes.takeIf { at >= measureFrom })
                start(measureFrom, end, outcomes, offer)
            }
        }
    }

    private fun anyEntry() = cell.entries[entryRandom.nextInt(cell.entries.size)]

    private fun rank(draw: Double): Rank = when {
        draw < urgent -> Rank.URGENT
        draw < urgent + standard -> Rank.STANDARD
        else -> Rank.BACKGROUND
    }
}
