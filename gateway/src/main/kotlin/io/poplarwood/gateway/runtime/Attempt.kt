package io.poplarwood.gateway.runtime

import io.poplarwood.gateway.http.AttemptResult
import io.poplarwood.gateway.http.ConnectionUse
import io.poplarwood.gateway.upstream.AvailabilityState
import io.poplarwood.gateway.upstream.UpstreamRow
import kotlin.time.Duration

/**
 * One attempt of a request at one upstream.
 *
 * @property knownState state of the upstream as this entry knew it when it chose the upstream, for the log
 */
internal class Attempt(val row: UpstreamRow, val sentAt: Duration, val knownState: String) {
    var result: AttemptResult? = null
    var endedAt: Duration? = null

    /** The connection that carries this attempt; null until there is one. */
    var connection: ConnectionUse? = null

    /** Whether the request was sent to the upstream, at least in part. */
    val wasSent: Boolean get() = connection != null

    /** When the connection that carries this attempt was opened; null until there is one. */
    val connectedAt: Duration? get() = connection?.openedAt

    /** Identifies this attempt among those that may end their upstream. */
    var lossId: Long = 0

    /** Requests in flight at the upstream when this attempt was sent, including this one. */
    val inFlightAtStart: Int = row.inFlight

    /** The attempt as one word of the `trail` log field. */
    fun describe(): String {
        val took = endedAt?.let { "+${(it - sentAt).inWholeMilliseconds}ms" } ?: ""
        val carriedBy = connection?.let { "@$it" } ?: ""
        return "${row.id}($knownState)$carriedBy:${describeResult()}$took"
    }

    /** The result as one word of a log field. */
    fun describeResult(): String = when (val ended = result) {
        null -> "unanswered"
        is AttemptResult.Answered -> ended.status.toString()
        is AttemptResult.NotExecuted -> ended.cause.name.lowercase() + if (ended.named) "" else "-unnamed"
        is AttemptResult.Lost -> ended.cause.name.lowercase()
        AttemptResult.NotSent -> "not-sent"
        AttemptResult.Withheld -> "withheld"
    }

    companion object {
        /** State of [row] known at [now] and the [losses] of upstreams under the request, for the `trail` log field. */
        fun describeKnownState(row: UpstreamRow, now: Duration, losses: Int): String {
            val age = now - row.slownessAt
            val state = row.availability.state(now)
            return buildString {
                append("load=${row.inFlight}/${row.record.slots}")
                if (age.isFinite()) append(",slow=${row.slowness}@${age.inWholeMilliseconds}ms")
                if (state != AvailabilityState.READY) append(",${state.name.lowercase()}")
                row.limit.perSecond?.let { append(",limit=$it") }
                if (losses > 0) append(",lost=$losses")
            }
        }
    }
}
