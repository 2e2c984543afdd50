package io.poplarwood.standins.upstream

import io.poplarwood.api.time.Ticker
import java.util.SplittableRandom
import kotlin.math.exp
import kotlin.time.Duration

/** Log-normal service times, longer during a cold start. */
internal class ServiceTimeSampler(private val options: UpstreamOptions, private val ticker: Ticker) {
    private val normal = SplittableRandom(options.seed)
    private var started = ticker.now()

    /** Begins a cold start. */
    @Synchronized
    fun restart() {
        started = ticker.now()
    }

    /** Time of the next request; [base] replaces the median. */
    @Synchronized
    fun next(base: Duration?, slowFactor: Double): Duration {
        val spread = if (base == null) exp(options.spread * normal.nextGaussian()) else 1.0
        return (base ?: options.serviceTime) * (spread * slowFactor * cold())
    }

    private fun cold(): Double {
        if (options.coldStart == Duration.ZERO) return 1.0
        val left = 1.0 - (ticker.now() - started) / options.coldStart
        return 1.0 + (options.coldFactor - 1.0) * left.coerceIn(0.0, 1.0)
    }
}
