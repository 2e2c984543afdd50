package io.poplarwood.gateway.decision

import io.poplarwood.api.id.ServiceName

/**
 * Learns how much longer work takes at an upstream that holds more requests at once.
 *
 * Answers upstreams that slow down when they are nearly full: beyond some number of requests each further one lowers
 * what the upstream finishes, and the request is better kept waiting.
 */
internal class ConcurrencyModel {
    private val services = HashMap<ServiceName, LoadCurve>()

    /** Notes a run that took [ratio] times the usual while the upstream held [inFlight] of its [slots] requests. */
    fun note(service: ServiceName, inFlight: Int, slots: Int, ratio: Double) {
        if (inFlight < 1 || slots < 1) return
        curveOf(service, slots).record(inFlight.coerceAtMost(slots), ratio)
    }

    /** How many times as long work takes with [inFlight] requests at once as with one. */
    fun loadFactor(service: ServiceName, inFlight: Int, slots: Int): Double =
        curveOf(service, slots).loadFactor(inFlight.coerceIn(1, slots.coerceAtLeast(1)))

    /** Requests at once with which an upstream of [slots] finishes most; half its slots at least. */
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

        /** More requests at once never make work quicker; a level that seems to was seen too seldom. */
        fun loadFactor(inFlight: Int): Double {
            val unloaded = ratios[1].coerceAtLeast(MIN_UNLOADED_RATIO)
            return (1..inFlight).maxOf { ratios[it] / unloaded }.coerceAtLeast(1.0)
        }
    }

    private companion object {
        /** Use of slots above which upstreams are taken to slow down until it was seen. */
        const val ASSUMED_SATURATION_SHARE = 0.8
        const val ASSUMED_SATURATED_RATIO = 1.4
        const val SMOOTHING_FACTOR = 0.02
        const val MIN_UNLOADED_RATIO = 0.2

        /** A run that took longer than this hung, which says nothing of crowding. */
        const val MAX_RATIO = 4.0
    }
}
