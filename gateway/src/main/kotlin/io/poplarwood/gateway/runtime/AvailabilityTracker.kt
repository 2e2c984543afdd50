package io.poplarwood.gateway.runtime

import io.poplarwood.api.random.RandomSource
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.upstream.AvailabilityInput
import io.poplarwood.gateway.upstream.AvailabilityState
import io.poplarwood.gateway.upstream.LimitNotice
import io.poplarwood.gateway.upstream.LimitObservation
import io.poplarwood.gateway.upstream.UpstreamNotice
import io.poplarwood.gateway.upstream.UpstreamRow
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlin.time.Duration

/**
 * Updates the availability of upstreams from observations, and logs each change of state.
 *
 * @param onLimitChanged called when the rate limit that an upstream names changed
 * @param onDraining called when an upstream is found to be draining
 */
internal class AvailabilityTracker(
    private val upstreams: UpstreamTable,
    private val random: RandomSource,
    private val log: EventLog,
    private val onLimitChanged: (UpstreamRow) -> Unit,
    private val onDraining: (UpstreamRow) -> Unit,
) {
    /**
     * Applies the [notice] that [row] sent to this entry in the answer to a request sent at [sentAt].
     *
     * @param endsLimit whether an answer that names no limit ends the limit of the upstream
     */
    fun applyNotice(row: UpstreamRow, notice: UpstreamNotice, sentAt: Duration, now: Duration, endsLimit: Boolean) {
        applyLimit(row, notice.limit, sentAt, now, endsLimit)
        if (notice.draining) markDraining(row.id, row.record.startMs, SOURCE_SELF, now)
        notice.retryAfter?.let { update(row, AvailabilityInput.PauseRequested(it), now) }
    }

    private fun applyLimit(row: UpstreamRow, notice: LimitNotice, sentAt: Duration, now: Duration, endsLimit: Boolean) {
        val perSecond = when (notice) {
            is LimitNotice.Limited -> notice.perSecond
            LimitNotice.Absent -> if (endsLimit) null else return
            LimitNotice.Malformed -> return
        }
        observeLimit(row, LimitObservation(perSecond, sentAt, now), SOURCE_SELF, now)
    }

    /** Applies what [source] observed about the limit of [row], and logs a change of the limit. */
    fun observeLimit(row: UpstreamRow, observation: LimitObservation, source: String, now: Duration) {
        if (!row.limit.apply(observation)) return
        val age = now - observation.receivedAt
        log.log(GatewayEvent.UPSTREAM_LIMIT, row.id, observation.perSecond, source, age.inWholeMilliseconds)
        if (observation.perSecond == null) update(row, AvailabilityInput.LimitEnded, now)
        onLimitChanged(row)
    }

    /** Applies [input] to [row]. */
    fun update(row: UpstreamRow, input: AvailabilityInput, now: Duration) =
        trackChange(row, logNameOf(input), SOURCE_SELF, now) {
            row.availability.apply(input, now, random.nextDouble())
        }

    /** Records that the incarnation of the upstream [id] that started at [born] is draining, as [source] observed. */
    fun markDraining(id: String, born: Long, source: String, now: Duration) {
        val row = upstreams[id]?.takeIf { it.record.startMs == born && !it.availability.announcedDraining }
        if (row == null) return upstreams.markDraining(id, born, now)
        trackChange(row, logNameOf(AvailabilityInput.Draining), source, now) {
            upstreams.markDraining(id, born, now)
        }
        onDraining(row)
    }

    /** Runs [change], caused by [input], and logs the state of [row] if it differs afterwards. */
    inline fun trackChange(row: UpstreamRow, input: String, source: String, now: Duration, change: () -> Unit) {
        val before = row.availability.state(now)
        change()
        val after = row.availability.state(now)
        if (after != before) logState(row, after, input, source, now)
    }

    /** Logs that [row] entered [state]. */
    fun logState(row: UpstreamRow, state: AvailabilityState, input: String, source: String, now: Duration) {
        val waitMs = row.availability.earliestUsableAt(now)?.let { (it - now).inWholeMilliseconds }
        val name = state.name.lowercase()
        log.log(GatewayEvent.UPSTREAM_STATE, row.id, name, input, source, row.availability.failures, waitMs)
    }

    companion object {
        /** Source of observations that this entry made itself. */
        const val SOURCE_SELF: String = "self"

        /** Value of [input] in log fields. */
        fun logNameOf(input: AvailabilityInput): String = when (input) {
            is AvailabilityInput.Registered -> "registered"
            AvailabilityInput.Answered -> "answered"
            AvailabilityInput.Lost -> "lost"
            AvailabilityInput.Draining -> "says-it-leaves"
            is AvailabilityInput.PauseRequested -> "wants-nothing"
            AvailabilityInput.LimitEnded -> "limit-ended"
            AvailabilityInput.AddressConflict -> "another-at-its-address"
        }
    }
}
