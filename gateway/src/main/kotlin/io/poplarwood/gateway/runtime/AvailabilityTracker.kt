package io.poplarwood.gateway.runtime

import io.poplarwood.api.random.Randomness
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.upstream.AvailabilityInput
import io.poplarwood.gateway.upstream.AvailabilityState
import io.poplarwood.gateway.upstream.UpstreamNotice
import io.poplarwood.gateway.upstream.UpstreamRow
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlin.time.Duration

/**
 * Takes what was learnt of upstreams into their availability, and logs each change of state.
 *
 * @param left called when an upstream is found to leave
 */
internal class AvailabilityTracker(
    private val upstreams: UpstreamTable,
    private val random: Randomness,
    private val log: EventLog,
    private val left: (UpstreamRow) -> Unit,
) {
    /** Takes in what [row] said of itself to this entry. */
    fun noticed(row: UpstreamRow, notice: UpstreamNotice, now: Duration) {
        if (notice.leaving) leaves(row.id, row.record.born, SELF, now)
        notice.notBefore?.let { take(row, AvailabilityInput.WantsNothingFor(it), now) }
    }

    /** Takes in [input] on [row]. */
    fun take(row: UpstreamRow, input: AvailabilityInput, now: Duration) = follow(row, nameOf(input), SELF, now) {
        row.availability.take(input, now, random.nextDouble())
    }

    /** Notes that the life of the upstream [id] that began at [born] leaves, as [source] found. */
    fun leaves(id: String, born: Long, source: String, now: Duration) {
        val row = upstreams[id]?.takeIf { it.record.born == born && !it.availability.leaving }
        if (row == null) return upstreams.markLeaving(id, born, now)
        follow(row, nameOf(AvailabilityInput.SaysItLeaves), source, now) { upstreams.markLeaving(id, born, now) }
        left(row)
    }

    /** Does [change], which [input] calls for, and logs what became of [row]. */
    inline fun follow(row: UpstreamRow, input: String, source: String, now: Duration, change: () -> Unit) {
        val before = row.availability.state(now)
        change()
        val after = row.availability.state(now)
        if (after != before) tell(row, after, input, source, now)
    }

    /** Logs that [row] came to [state]. */
    fun tell(row: UpstreamRow, state: AvailabilityState, input: String, source: String, now: Duration) {
        val wait = row.availability.from(now)?.let { (it - now).inWholeMilliseconds }
        val name = state.name.lowercase()
        log.log(GatewayEvent.UPSTREAM_STATE, row.id, name, input, source, row.availability.failures, wait)
    }

    companion object {
        /** Source of what this entry learnt itself. */
        const val SELF: String = "self"

        /** How [input] is logged. */
        fun nameOf(input: AvailabilityInput): String = when (input) {
            is AvailabilityInput.Registered -> "registered"
            AvailabilityInput.Answered -> "answered"
            AvailabilityInput.Lost -> "lost"
            AvailabilityInput.SaysItLeaves -> "says-it-leaves"
            is AvailabilityInput.WantsNothingFor -> "wants-nothing"
            AvailabilityInput.AnotherAtItsAddress -> "another-at-its-address"
        }
    }
}
