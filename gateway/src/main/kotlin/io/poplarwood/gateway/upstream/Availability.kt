package io.poplarwood.gateway.upstream

import kotlin.math.min
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Whether one incarnation of an upstream may receive work from this entry. Times are readings of the entry's ticker.
 *
 * Covers upstreams that crash or hang while their registration looks good, that drain before their registration says
 * so, that ask for a pause, or whose address was reassigned to another upstream. An announcement of draining holds for
 * the whole incarnation: a registration that still says ready may be older than the announcement, and an upstream that
 * keeps running has no reason to make one.
 */
internal class Availability {
    /** Number of consecutive attempts that brought no answer. */
    var failures: Int = 0
        private set
    private var ejectedUntil = -Duration.INFINITE

    /** End of the time for which the upstream asked for no requests; in the past if it does not ask for that now. */
    var deferredUntil = -Duration.INFINITE
        private set
    private var conflictUntil = -Duration.INFINITE

    private var warmupUntil = -Duration.INFINITE
    private var draining = false

    /** Whether the upstream announced in an answer that it is draining. */
    var announcedDraining: Boolean = false
        private set

    /** Applies [input]; [jitterFraction], 0 to 1, spreads the return of upstreams that asked for the same pause. */
    fun apply(input: AvailabilityInput, now: Duration, jitterFraction: Double = 0.0) = when (input) {
        is AvailabilityInput.Registered -> {
            draining = input.draining
            warmupUntil = now + input.warmup
        }
        AvailabilityInput.Answered -> {
            failures = 0
            ejectedUntil = -Duration.INFINITE
        }
        AvailabilityInput.Lost -> recordLoss(now)
        AvailabilityInput.Draining -> announcedDraining = true
        is AvailabilityInput.PauseRequested -> defer(input.duration, now, jitterFraction)
        AvailabilityInput.LimitEnded -> deferredUntil = maxOf(deferredUntil, now)
        AvailabilityInput.AddressConflict -> conflictUntil = now + ADDRESS_CONFLICT_BACKOFF
    }

    private fun recordLoss(now: Duration) {
        failures++
        if (failures < EJECTION_THRESHOLD) return
        ejectedUntil = now + BASE_EJECTION * 2.0.pow(min(failures - EJECTION_THRESHOLD, MAX_DOUBLINGS))
    }

    private fun defer(time: Duration, now: Duration, jitterFraction: Double) {
        val until = now + time.coerceAtMost(MAX_DEFERRAL)
        val jitter = (time * JITTER_SHARE).coerceAtMost(MAX_JITTER) * jitterFraction
        deferredUntil = maxOf(deferredUntil, until + jitter)
    }

    /** State at [now]. */
    fun state(now: Duration): AvailabilityState = when {
        announcedDraining || draining -> AvailabilityState.LEAVING
        now < conflictUntil -> AvailabilityState.ELSEWHERE
        now < deferredUntil -> AvailabilityState.DEFERRED
        now < ejectedUntil -> AvailabilityState.RESTING
        failures > 0 && now < ejectedUntil + PROBATION -> AvailabilityState.ON_TRIAL
        now < deferredUntil + RAMP_UP -> AvailabilityState.RETURNING
        else -> AvailabilityState.READY
    }

    /** Whether the upstream is slow because it has just started. */
    fun isWarmingUp(now: Duration): Boolean = now < warmupUntil

    /** Number of requests of this entry that may be in flight at the upstream, out of its [slots]. */
    fun inFlightLimit(slots: Int, now: Duration): Int = when (state(now)) {
        AvailabilityState.READY -> slots
        AvailabilityState.RETURNING -> 1 + (slots * ((now - deferredUntil) / RAMP_UP)).toInt()
        AvailabilityState.ON_TRIAL -> 1
        else -> 0
    }

    /** Earliest time at which the upstream may receive work; null when that is not known. */
    fun earliestUsableAt(now: Duration): Duration? =
        if (announcedDraining || draining) null else maxOf(now, maxOf(conflictUntil, deferredUntil, ejectedUntil))

    private companion object {
        /** A single lost connection may be caused by the network path; two in a row are the upstream's fault. */
        const val EJECTION_THRESHOLD = 2
        val BASE_EJECTION = 400.milliseconds
        const val MAX_DOUBLINGS = 3

        /** Time after an ejection during which the upstream receives one request at a time. */
        val PROBATION = 1.seconds

        /** Time over which an upstream that asked for a pause, or for a lower rate, returns to all its slots. */
        val RAMP_UP = 1.seconds

        /**
         * Backoff after another upstream answered at the address. The upstream is then tried again, as the answer may
         * have been wrong.
         */
        val ADDRESS_CONFLICT_BACKOFF = 5.seconds

        /** A longer pause counts as a mistake of the upstream. */
        val MAX_DEFERRAL = 1.hours

        /** Upstreams that asked for the same pause return spread over this share of it, up to [MAX_JITTER]. */
        const val JITTER_SHARE = 0.25
        val MAX_JITTER = 1.seconds
    }
}
