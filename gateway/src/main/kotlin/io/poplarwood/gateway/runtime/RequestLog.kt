package io.poplarwood.gateway.runtime

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.metrics.GatewayMetrics
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Logs and counts requests. The number of lines per second is limited, with a higher limit for requests that were not
 * answered by their first attempt; the number of lines left out is logged.
 */
internal class RequestLog(
    private val log: EventLog,
    private val metrics: GatewayMetrics,
    private val ticker: Ticker,
) {
    private val plainBudget = LineBudget(PLAIN_LINES_PER_S)
    private val notableBudget = LineBudget(NOTABLE_LINES_PER_S)
    private var dropped = 0
    private var droppedLoggedAt = Duration.ZERO

    /** Counts a request that ended, and logs it if the limit allows. */
    fun requestEnded(report: RequestReport) {
        val now = ticker.now()
        metrics.requestEnded(report.outcome, report.route?.priority ?: 0, now - report.arrivedAt)
        val answeredInOneAttempt = report.outcome == Outcome.ANSWERED && report.attempts.size == 1
        if ((if (answeredInOneAttempt) plainBudget else notableBudget).tryTake(now)) write(report, now) else dropped++
        if (dropped > 0 && now - droppedLoggedAt >= DROPPED_LOG_INTERVAL) {
            log.log(GatewayEvent.LINES_DROPPED, dropped)
            dropped = 0
            droppedLoggedAt = now
        }
    }

    private fun write(report: RequestReport, now: Duration) = log.log(
        report.outcome.event,
        report.id,
        report.route?.name,
        report.service,
        report.status,
        report.outcome.label,
        (now - report.arrivedAt).inWholeMilliseconds,
        report.queuedFor.inWholeMilliseconds,
        report.attempts.size,
        (report.attempts.map { it.describe() } + report.hops.map { "via=$it" }).joinToString(" "),
        report.stateVersion,
        java.lang.Long.toHexString(report.fingerprint),
        report.confirmedMs,
    )

    /** Allows [perSecond] lines in each second. */
    private class LineBudget(private val perSecond: Int) {
        private var second = -1L
        private var used = 0

        fun tryTake(now: Duration): Boolean {
            if (now.inWholeSeconds != second) {
                second = now.inWholeSeconds
                used = 0
            }
            return ++used <= perSecond
        }
    }

    private companion object {
        const val PLAIN_LINES_PER_S = 5
        const val NOTABLE_LINES_PER_S = 50
        val DROPPED_LOG_INTERVAL = 5.seconds
    }
}
