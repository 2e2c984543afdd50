package io.poplarwood.gateway.runtime

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.metrics.GatewayMetrics
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Logs and counts requests. Requests that were not answered in one attempt go first; others are logged as far as the
 * volume allows, and what is left out is counted.
 */
internal class RequestLog(
    private val log: EventLog,
    private val metrics: GatewayMetrics,
    private val ticker: Ticker,
) {
    private val plain = LineBudget(PLAIN_LINES)
    private val notable = LineBudget(NOTABLE_LINES)
    private var dropped = 0
    private var toldAt = Duration.ZERO

    /** Notes the end of a request. */
    fun ended(report: RequestReport) {
        val now = ticker.now()
        metrics.ended(report.outcome, report.route?.priority ?: 0, now - report.arrived)
        val simple = report.outcome == Outcome.ANSWERED && report.attempts.size == 1
        if ((if (simple) plain else notable).take(now)) write(report, now) else dropped++
        if (dropped > 0 && now - toldAt >= TELL_EVERY) {
            log.log(GatewayEvent.LINES_DROPPED, dropped)
            dropped = 0
            toldAt = now
        }
    }

    private fun write(report: RequestReport, now: Duration) = log.log(
        report.outcome.event,
        report.id,
        report.route?.name,
        report.service,
        report.status,
        report.outcome.label,
        (now - report.arrived).inWholeMilliseconds,
        report.waited.inWholeMilliseconds,
        report.attempts.size,
        report.attempts.joinToString(" ") { it.describe() },
        report.stateVersion,
        java.lang.Long.toHexString(report.fingerprint),
    )

    /** Allows a number of lines each second. */
    private class LineBudget(private val perSecond: Int) {
        private var second = -1L
        private var used = 0

        fun take(now: Duration): Boolean {
            if (now.inWholeSeconds != second) {
                second = now.inWholeSeconds
                used = 0
            }
            return ++used <= perSecond
        }
    }

    private companion object {
        const val PLAIN_LINES = 5
        const val NOTABLE_LINES = 50
        val TELL_EVERY = 5.seconds
    }
}
