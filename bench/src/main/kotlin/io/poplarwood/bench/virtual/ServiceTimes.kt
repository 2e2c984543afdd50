package io.poplarwood.bench.virtual

import io.poplarwood.api.random.RandomSource
import kotlin.math.PI
import kotlin.math.cos
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt
import kotlin.time.Duration

/** Distribution of the time an upstream works on one request. */
fun interface ServiceTimes {
    /** The next time drawn with [random]. */
    fun next(random: RandomSource): Duration

    companion object {
        /** Exponential with the given [mean]. */
        fun exponential(mean: Duration): ServiceTimes = ServiceTimes { mean * -ln(1.0 - it.nextDouble()) }

        /** Log-normal with the given [mean]; [sigma] is the standard deviation of the logarithm. */
        fun logNormal(mean: Duration, sigma: Double): ServiceTimes = ServiceTimes {
            val radius = sqrt(-2.0 * ln(1.0 - it.nextDouble()))
            val normal = radius * cos(2.0 * PI * it.nextDouble())
            mean * exp(sigma * normal - sigma * sigma / 2.0)
        }
    }
}
