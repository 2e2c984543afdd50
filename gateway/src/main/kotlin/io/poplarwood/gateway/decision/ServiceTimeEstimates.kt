package io.poplarwood.gateway.decision

import io.poplarwood.gateway.route.Route
import kotlin.math.abs
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.toDuration

/** Estimates the service time of each route's requests at an upstream of usual speed. */
internal class ServiceTimeEstimates {
    private val estimates = HashMap<String, Estimate>()

    /** Mean service time of [route]; a share of its target latency until a sample is available. */
    fun mean(route: Route): Duration =
        estimates[route.prefix]?.let { ms(it.meanMs) } ?: (route.target * INITIAL_MEAN_SHARE)

    /** Service time that few requests of [route] exceed at an upstream of usual speed. */
    fun upperBound(route: Route): Duration =
        estimates[route.prefix]?.let { ms(it.meanMs + it.deviationMs * LONG_DEVIATIONS) }
            ?: (route.target * INITIAL_LONG_SHARE)

    /** Records an answer that took [took] at an upstream that was [slowness] times slower than usual. */
    fun record(route: Route, took: Duration, slowness: Double) {
        val value = took.toDouble(DurationUnit.MILLISECONDS) / slowness.coerceAtLeast(1.0)
        val estimate = estimates.getOrPut(route.prefix) { Estimate(value, value * INITIAL_DEVIATION_SHARE) }
        estimate.deviationMs += (abs(value - estimate.meanMs) - estimate.deviationMs) * SMOOTHING_FACTOR
        estimate.meanMs += (value - estimate.meanMs) * SMOOTHING_FACTOR
        if (estimates.size > MAX_ROUTES) estimates.remove(estimates.keys.first())
    }

    private class Estimate(var meanMs: Double, var deviationMs: Double)

    private fun ms(value: Double) = value.toDuration(DurationUnit.MILLISECONDS)

    private companion object {
        const val SMOOTHING_FACTOR = 0.03
        const val INITIAL_MEAN_SHARE = 0.3
        const val INITIAL_LONG_SHARE = 0.5
        const val INITIAL_DEVIATION_SHARE = 0.3

        /** Number of mean absolute deviations above the mean. */
        const val LONG_DEVIATIONS = 2.5
        const val MAX_ROUTES = 5_000
    }
}
