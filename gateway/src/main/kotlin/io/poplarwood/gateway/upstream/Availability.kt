package io.poplarwood.gateway.upstream

import kotlin.math.min
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Whether one life of an upstream may get work from this entry. Times are readings of the entry's ticker.
 *
 * Answers upstreams that crash or hang while their registration looks good, that leave before their registration says
 * so, that ask for a pause, and whose address was given to another one. A mark of leaving holds for the whole life: a
 * registration that still says ready may be older than the mark, and an upstream that stays would have no reason to set
 * it.
 */
internal class Availability {
    /** Consecutive attempts that brought no answer. */
    var failures: Int = 0
        private set
    private var ejectedUntil = -Duration.INFINITE
    private var deferredUntil = -Duration.INFINITE
    private var addressConflictUntil = -Duration.INFINITE

    private var warmupUntil = -Duration.INFINITE
    private var draining = false

    /** Whether it has said in an answer that it leaves. */
    var leaving: Boolean = false
        private set

    /** Takes in [input]; [jitterFraction] from 0 to 1 sets upstreams that were told alike apart. */
    fun take(input: AvailabilityInput, now: Duration, jitterFraction: Double = 0.0) = when (input) {
        is AvailabilityInput.Registered -> {
            draining = input.draining
            warmupUntil = now + input.warmup
        }
        AvailabilityInput.Answered -> {
            failures = 0
            ejectedUntil = -Duration.INFINITE
        }
        AvailabilityInput.Lost -> recordLoss(now)
        AvailabilityInput.SaysItLeaves -> leaving = true
        is AvailabilityInput.WantsNothingFor -> defer(input.time, now, jitterFraction)
        AvailabilityInput.AnotherAtItsAddress -> addressConflictUntil = now + ADDRESS_CONFLICT_BACKOFF
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

    /** The state at [now]. */
    fun state(now: Duration): AvailabilityState = when {
        leaving || draining -> AvailabilityState.LEAVING
        now < addressConflictUntil -> AvailabilityState.ELSEWHERE
        now < deferredUntil -> AvailabilityState.DEFERRED
        now < ejectedUntil -> AvailabilityState.RESTING
        failures > 0 && now < ejectedUntil + PROBATION -> AvailabilityState.ON_TRIAL
        now < deferredUntil + RAMP_UP -> AvailabilityState.RETURNING
        else -> AvailabilityState.READY
    }

    /** Whether it is slow because it has just started. */
    fun isWarmingUp(now: Duration): Boolean = now < warmupUntil

    /** Requests of this entry that it may hold of its [slots]. */
    fun inFlightLimit(slots: Int, now: Duration): Int = when (state(now)) {
        AvailabilityState.READY -> slots
        AvailabilityState.RETURNING -> 1 + (slots * ((now - deferredUntil) / RAMP_UP)).toInt()
        AvailabilityState.ON_TRIAL -> 1
        else -> 0
    }

    /** From when on it may get work; null when that is not known. */
    fun from(now: Duration): Duration? =
        if (leaving || draining) null else maxOf(now, maxOf(addressConflictUntil, deferredUntil, ejectedUntil))

    private companion object {
        /** One lost connection may be the path's fault; two in a row are the upstream's. */
        const val EJECTION_THRESHOLD = 2
        val BASE_EJECTION = 400.milliseconds
        const val MAX_DOUBLINGS = 3

        /** After a rest an upstream gets one request at a time for this long. */
        val PROBATION = 1.seconds

        /** Span over which an upstream that asked for a pause comes back to all its slots. */
        val RAMP_UP = 1.seconds

        /** An upstream whose address answered for another is tried again after this: the answer may have been wrong. */
        val ADDRESS_CONFLICT_BACKOFF = 5.seconds

        /** A longer pause is taken for a mistake of the upstream's. */
        val MAX_DEFERRAL = 1.hours

        /** Upstreams that ask for the same pause come back this far apart at most. */
        const val JITTER_SHARE = 0.25
        val MAX_JITTER = 1.seconds
    }
}
