package io.poplarwood.standins.upstream

import io.poplarwood.api.time.Ticker
import java.util.SplittableRandom
import kotlin.math.exp
import kotlin.time.Duration

/** Samples service times from a log-normal distribution; service times are longer during a cold start. */
internal class ServiceTimeSampler(private val options: UpstreamOptions, private val ticker: Ticker) {
    private val random = SplittableRandom(options.seed)
    private var startedAt = ticker.now()

    /** Starts a new cold start. */
    @Synchronized
    fun restart() {
        startedAt = ticker.now()
    }

    /** Samples the service time of a request; [fixedTime] replaces the random time. Slowdown factors apply to both. */
    @Synchronized
    fun sample(fixedTime: Duration?, slowFactor: Double): Duration {
        val noise = if (fixedTime == null) exp(options.sigma * random.nextGaussian()) else 1.0
        return (fixedTime ?: options.serviceTime) * (noise * slowFactor * currentColdFactor())
    }

    private fun currentColdFactor(): Double {
        if (options.coldStartDuration == Duration.ZERO) return 1.0
        val remaining = 1.0 - (ticker.now() - startedAt) / options.coldStartDuration
        return 1.0 + (options.coldStartFactor - 1.0) * remaining.coerceIn(0.0, 1.0)
    }
}
