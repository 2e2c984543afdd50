package io.poplarwood.gateway.runtime

import io.poplarwood.gateway.http.AttemptResult
import io.poplarwood.gateway.upstream.AvailabilityState
import io.poplarwood.gateway.upstream.UpstreamRow
import kotlin.time.Duration

/**
 * One attempt of a request at one upstream.
 *
 * @property basis what was believed of the upstream when it was chosen, for the log
 */
internal class Attempt(val row: UpstreamRow, val sentAt: Duration, val basis: String) {
    var result: AttemptResult? = null
    var endedAt: Duration? = null

    /** When it was sent or, if that is later, when another attempt of its request was lost. */
    var since: Duration = sentAt

    /** Requests that the upstream held when this one was sent, with this one. */
    val heldAtStart: Int = row.inFlight

    /** The attempt as one word of a log line. */
    fun describe(): String {
        val took = endedAt?.let { "+${(it - sentAt).inWholeMilliseconds}ms" } ?: ""
        return "${row.id}($basis):${describeResult()}$took"
    }

    /** What came of it, as one word. */
    fun describeResult(): String = when (val end = result) {
        null -> "unanswered"
        is AttemptResult.Answered -> end.status.toString()
        is AttemptResult.NotExecuted -> end.cause.name.lowercase()
        is AttemptResult.Lost -> end.cause.name.lowercase()
        AttemptResult.NotSent -> "not-sent"
    }

    companion object {
        /** What is believed at [now] of [row], and of [losses] under the request, as it stands in a log line. */
        fun basisOf(row: UpstreamRow, now: Duration, losses: Int): String {
            val age = now - row.slownessAt
            val state = row.availability.state(now)
            return buildString {
                append("load=${row.inFlight}/${row.record.slots}")
                if (age.isFinite()) append(",slow=${row.slowness}@${age.inWholeMilliseconds}ms")
                if (state != AvailabilityState.READY) append(",${state.name.lowercase()}")
                if (losses > 0) append(",lost=$losses")
            }
        }
    }
}
