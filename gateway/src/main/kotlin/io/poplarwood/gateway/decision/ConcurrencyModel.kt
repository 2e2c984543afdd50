package io.poplarwood.gateway.decision

import io.poplarwood.api.id.ServiceName

/**
 * Estimates how the service time at an upstream grows with the number of requests in flight there.
 *
 * Some upstreams slow down when they are nearly full: beyond some concurrency each further request lowers their
 * throughput, and the request is better kept in the queue.
 */
internal class ConcurrencyModel {
    private val services = HashMap<ServiceName, LoadCurve>()

    /**
     * Records an attempt that took [ratio] times the usual service time while [inFlight] requests were in flight at an
     * upstream with [slots] slots.
     */
    fun record(service: ServiceName, inFlight: Int, slots: Int, ratio: Double) {
        if (inFlight < 1 || slots < 1) return
        curveOf(service, slots).record(inFlight.coerceAtMost(slots), ratio)
    }

    /** Ratio of the service time with [inFlight] concurrent requests to that with a single one. */
    fun loadFactor(service: ServiceName, inFlight: Int, slots: Int): Double =
        curveOf(service, slots).loadFactor(inFlight.coerceIn(1, slots.coerceAtLeast(1)))

    /** Concurrency at which an upstream with [slots] slots has its highest throughput; at least half of its slots. */
    fun concurrencyLimit(service: ServiceName, slots: Int): Int = curveOf(service, slots).concurrencyLimit

    private fun curveOf(service: ServiceName, slots: Int): LoadCurve {
        val known = services[service]
        if (known != null && known.slots >= slots) return known
        return LoadCurve(slots.coerceAtLeast(1)).also { services[service] = it }
    }

    private class LoadCurve(val slots: Int) {
        private val ratios = DoubleArray(slots + 1) {
            if (it > slots * ASSUMED_SATURATION_SHARE) ASSUMED_SATURATED_RATIO else 1.0
        }
        var concurrencyLimit = slots
            private set

        fun record(inFlight: Int, ratio: Double) {
            ratios[inFlight] += (ratio.coerceAtMost(MAX_RATIO) - ratios[inFlight]) * SMOOTHING_FACTOR
            concurrencyLimit = ((slots + 1) / 2..slots).maxBy { it / loadFactor(it) }
        }

        /** Never decreases with concurrency: a level that seems faster than a lower one has too few samples. */
        fun loadFactor(inFlight: Int): Double {
            val unloaded = ratios[1].coerceAtLeast(MIN_UNLOADED_RATIO)
            return (1..inFlight).maxOf { ratios[it] / unloaded }.coerceAtLeast(1.0)
        }
    }

    private companion object {
        /** Share of used slots above which an upstream is assumed to slow down until samples are available. */
        const val ASSUMED_SATURATION_SHARE = 0.8
        const val ASSUMED_SATURATED_RATIO = 1.4
        const val SMOOTHING_FACTOR = 0.02
        const val MIN_UNLOADED_RATIO = 0.2

        /** Samples are capped here: a longer attempt was stalled, which says nothing about concurrency. */
        const val MAX_RATIO = 4.0
    }
}
