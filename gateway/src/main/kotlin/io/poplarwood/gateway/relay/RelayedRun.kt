package io.poplarwood.gateway.relay

import io.poplarwood.gateway.http.AttemptResult
import io.poplarwood.gateway.http.CallerRequest
import io.poplarwood.gateway.http.UpstreamConnectionPool
import io.poplarwood.gateway.http.UpstreamRequest
import io.poplarwood.gateway.metrics.GatewayMetrics
import io.poplarwood.gateway.peer.PeerStatus
import io.poplarwood.gateway.route.Route
import io.poplarwood.gateway.runtime.ExecutionEvidence
import io.poplarwood.gateway.runtime.Outcome
import io.poplarwood.gateway.runtime.RequestHandler
import io.poplarwood.gateway.runtime.RequestReport
import io.poplarwood.gateway.runtime.RequestResult
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Executes one request by way of other entries, because this one cannot reach the upstreams.
 *
 * The helper makes the attempts, with the time and the attempts that are left and the fingerprint of the caller's
 * request; it takes repeats from the budget, while the request itself is counted here. It leaves out the upstreams that
 * this entry has sent the request to: a second run there could end otherwise than the first, under the same id. A
 * helper that does not answer is not followed by another one, because it is not known which upstreams it has used.
 */
internal class RelayedRun(
    private val handler: RequestHandler,
    private val helpers: RelayHelpers,
    private val links: UpstreamConnectionPool,
    private val metrics: GatewayMetrics,
    private val request: CallerRequest,
    private val route: Route,
    private val report: RequestReport,
) {
    private val ticker = handler.ticker
    private val deadline = request.deadline(route.timeout)
    private val asked = HashSet<String>()

    /**
     * Runs the request until it has a final answer; null when no entry can help.
     *
     * @param evidence what attempts of this entry have shown
     * @param attemptsLeft number of upstreams that the request may still be sent to
     */
    suspend fun run(evidence: ExecutionEvidence, attemptsLeft: Int): RequestResult? {
        val hop = Hop(request.fingerprint, attemptsLeft, report.sentTo)
        if (attemptsLeft <= 0 || !RelayHeaders.canCarry(hop)) return null
        var result: RequestResult? = null
        while (true) {
            val helper = nextHelper() ?: return result
            val reply = exchange(helper, hop)
            final(reply, evidence)?.let { return it }
            result = interim(reply, evidence)
        }
    }

    /** The entry to ask next; null when none can help in time. */
    private fun nextHelper(): PeerStatus? {
        if (asked.size >= MAX_HELPERS || ticker.now() >= deadline) return null
        return helpers.select(asked)?.also { asked += it.name }
    }

    /** Sends the request to [helper], which gets [hop]; null when it does not answer before the deadline. */
    private suspend fun exchange(helper: PeerStatus, hop: Hop): AttemptResult? {
        val sentAt = ticker.now()
        val headers = RelayHeaders.of(hop)
        val outbound = UpstreamRequest(request, deadline, null, headers) {
            handler.configurationAdmission.maySend(request.arrivedAt)
        }
        metrics.relayed(RelayEvent.SENT)
        helpers.count(helper, 1)
        val result = try {
            withTimeoutOrNull(deadline - sentAt) {
                links.exchange(checkNotNull(helper.record.relay), outbound, MAX_IDLE)
            }
        } finally {
            helpers.count(helper, -1)
        }
        metrics.relayed(eventOf(result))
        report.hops += "${helper.name}:${describe(result)}+${(ticker.now() - sentAt).inWholeMilliseconds}ms"
        return result
    }

    /** The final answer that [reply] is; null when the helper has not run the request, so that another one may. */
    private fun final(reply: AttemptResult?, evidence: ExecutionEvidence): RequestResult? = when (reply) {
        is AttemptResult.Answered -> {
            evidence.mayHaveRun = true
            if (reply.headers.contains(handler.headerNames.signature) || reply.status < FIRST_SERVER_ERROR) {
                evidence.forward(reply)
            } else {
                evidence.uncertain(if (reply.status == GATEWAY_TIMEOUT) Outcome.TIMED_OUT else Outcome.LOST)
            }
        }
        AttemptResult.Withheld -> {
            val outcome = if (ticker.now() >= deadline) Outcome.EXPIRED else Outcome.BEHIND
            evidence.refuse(outcome, RequestHandler.OTHER_ENTRY_RETRY_AFTER)
        }
        is AttemptResult.Lost, null -> {
            evidence.mayHaveRun = true
            evidence.uncertain(if (ticker.now() >= deadline) Outcome.TIMED_OUT else Outcome.LOST)
        }
        is AttemptResult.NotExecuted, AttemptResult.NotSent -> null
    }

    /** The answer in case that [reply] is the last one. */
    private fun interim(reply: AttemptResult?, evidence: ExecutionEvidence): RequestResult =
        if (reply is AttemptResult.NotExecuted) {
            evidence.refuse(Outcome.HELPER_REFUSED, reply.notice.retryAfter ?: RETRY_AFTER)
        } else {
            evidence.refuse(Outcome.NOT_SENT, RETRY_AFTER)
        }

    private fun eventOf(result: AttemptResult?) = when (result) {
        is AttemptResult.Answered -> RelayEvent.ANSWERED
        is AttemptResult.NotExecuted -> RelayEvent.REFUSED
        AttemptResult.NotSent, AttemptResult.Withheld -> RelayEvent.NOT_SENT
        is AttemptResult.Lost, null -> RelayEvent.LOST
    }

    private fun describe(result: AttemptResult?) =
        if (result is AttemptResult.Answered) result.status.toString() else eventOf(result).name.lowercase()

    private companion object {
        const val MAX_HELPERS = 2
        const val FIRST_SERVER_ERROR = 500
        const val GATEWAY_TIMEOUT = 504

        /** A connection between entries that was idle for longer may have gone silent. */
        val MAX_IDLE: Duration = 3.seconds
        val RETRY_AFTER = 50.milliseconds
    }
}
