package io.poplarwood.gateway.runtime

import io.poplarwood.gateway.http.AttemptResult
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

    private fun describeResult(): String = when (val end = result) {
        null -> "unanswered"
        is AttemptResult.Answered -> end.status.toString()
        is AttemptResult.NotExecuted -> end.cause.name.lowercase()
        is AttemptResult.Lost -> end.cause.name.lowercase()
        AttemptResult.NotSent -> "not-sent"
    }
}
