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
    private var restUntil = -Duration.INFINITE
    private var deferredUntil = -Duration.INFINITE
    private var elsewhereUntil = -Duration.INFINITE

    private var warmUntil = -Duration.INFINITE
    private var drains = false

    /** Whether it has said in an answer that it leaves. */
    var leaving: Boolean = false
        private set

    /** Takes in [input]; [spread] from 0 to 1 sets upstreams that were told alike apart. */
    fun take(input: AvailabilityInput, now: Duration, spread: Double = 0.0) = when (input) {
        is AvailabilityInput.Registered -> {
            drains = input.drains
            warmUntil = now + input.warmup
        }
        AvailabilityInput.Answered -> {
            failures = 0
            restUntil = -Duration.INFINITE
        }
        AvailabilityInput.Lost -> lost(now)
        AvailabilityInput.SaysItLeaves -> leaving = true
        is AvailabilityInput.WantsNothingFor -> defer(input.time, now, spread)
        AvailabilityInput.AnotherAtItsAddress -> elsewhereUntil = now + ELSEWHERE
    }

    private fun lost(now: Duration) {
        failures++
        if (failures < FAILURES_TO_REST) return
        restUntil = now + FIRST_REST * 2.0.pow(min(failures - FAILURES_TO_REST, MAX_DOUBLINGS))
    }

    private fun defer(time: Duration, now: Duration, spread: Double) {
        val until = now + time.coerceAtMost(LONGEST_DEFERRAL)
        val apart = (time * SPREAD_SHARE).coerceAtMost(LONGEST_SPREAD) * spread
        deferredUntil = maxOf(deferredUntil, until + apart)
    }

    /** The state at [now]. */
    fun state(now: Duration): AvailabilityState = when {
        leaving || drains -> AvailabilityState.LEAVING
        now < elsewhereUntil -> AvailabilityState.ELSEWHERE
        now < deferredUntil -> AvailabilityState.DEFERRED
        now < restUntil -> AvailabilityState.RESTING
        failures > 0 && now < restUntil + TRIAL_SPAN -> AvailabilityState.ON_TRIAL
        now < deferredUntil + RETURN_SPAN -> AvailabilityState.RETURNING
        else -> AvailabilityState.READY
    }

    /** Whether it is slow because it has just started. */
    fun isCold(now: Duration): Boolean = now < warmUntil

    /** Requests of this entry that it may hold of its [slots]. */
    fun allowed(slots: Int, now: Duration): Int = when (state(now)) {
        AvailabilityState.READY -> slots
        AvailabilityState.RETURNING -> 1 + (slots * ((now - deferredUntil) / RETURN_SPAN)).toInt()
        AvailabilityState.ON_TRIAL -> 1
        else -> 0
    }

    /** From when on it may get work; null when that is not known. */
    fun from(now: Duration): Duration? =
        if (leaving || drains) null else maxOf(now, maxOf(elsewhereUntil, deferredUntil, restUntil))

    private companion object {
        /** One lost connection may be the path's fault; two in a row are the upstream's. */
        const val FAILURES_TO_REST = 2
        val FIRST_REST = 400.milliseconds
        const val MAX_DOUBLINGS = 3

        /** After a rest an upstream gets one request at a time for this long. */
        val TRIAL_SPAN = 1.seconds

        /** Span over which an upstream that asked for a pause comes back to all its slots. */
        val RETURN_SPAN = 1.seconds

        /** An upstream whose address answered for another is tried again after this: the answer may have been wrong. */
        val ELSEWHERE = 5.seconds

        /** A longer pause is taken for a mistake of the upstream's. */
        val LONGEST_DEFERRAL = 1.hours

        /** Upstreams that ask for the same pause come back this far apart at most. */
        const val SPREAD_SHARE = 0.25
        val LONGEST_SPREAD = 1.seconds
    }
}
