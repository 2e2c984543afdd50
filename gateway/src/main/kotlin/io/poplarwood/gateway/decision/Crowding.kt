package io.poplarwood.gateway.decision

import io.poplarwood.api.id.ServiceName

/**
 * Learns how much longer work takes at an upstream that holds more requests at once.
 *
 * Answers upstreams that slow down when they are nearly full: beyond some number of requests each further one lowers
 * what the upstream finishes, and the request is better kept waiting.
 */
internal class Crowding {
    private val services = HashMap<ServiceName, Levels>()

    /** Notes a run that took [ratio] times the usual while the upstream held [held] of its [slots] requests. */
    fun note(service: ServiceName, held: Int, slots: Int, ratio: Double) {
        if (held < 1 || slots < 1) return
        levels(service, slots).note(held.coerceAtMost(slots), ratio)
    }

    /** How many times as long work takes with [held] requests at once as with one. */
    fun factor(service: ServiceName, held: Int, slots: Int): Double =
        levels(service, slots).factor(held.coerceIn(1, slots.coerceAtLeast(1)))

    /** Requests at once with which an upstream of [slots] finishes most; half its slots at least. */
    fun best(service: ServiceName, slots: Int): Int = levels(service, slots).best

    private fun levels(service: ServiceName, slots: Int): Levels {
        val known = services[service]
        if (known != null && known.slots >= slots) return known
        return Levels(slots.coerceAtLeast(1)).also { services[service] = it }
    }

    private class Levels(val slots: Int) {
        private val ratios = DoubleArray(slots + 1) { if (it > slots * KNEE) FIRST_CROWDED else 1.0 }
        var best = slots
            private set

        fun note(held: Int, ratio: Double) {
            ratios[held] += (ratio.coerceAtMost(MOST) - ratios[held]) * LEARNING
            best = ((slots + 1) / 2..slots).maxBy { it / factor(it) }
        }

        /** More requests at once never make work quicker; a level that seems to was seen too seldom. */
        fun factor(held: Int): Double {
            val alone = ratios[1].coerceAtLeast(LEAST)
            return (1..held).maxOf { ratios[it] / alone }.coerceAtLeast(1.0)
        }
    }

    private companion object {
        /** Use of slots above which upstreams are taken to slow down until it was seen. */
        const val KNEE = 0.8
        const val FIRST_CROWDED = 1.4
        const val LEARNING = 0.02
        const val LEAST = 0.2

        /** A run that took longer than this hung, which says nothing of crowding. */
        const val MOST = 4.0
    }
}
