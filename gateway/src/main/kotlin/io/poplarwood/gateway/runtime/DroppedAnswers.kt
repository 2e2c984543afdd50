package io.poplarwood.gateway.runtime

import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.metrics.GatewayMetrics
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Counts answers that were dropped because the memory for answers was full, and logs them at most once per
 * [LOG_INTERVAL].
 *
 * @param limitBytes size of the memory for answers
 */
internal class DroppedAnswers(
    private val log: EventLog,
    private val metrics: GatewayMetrics,
    private val limitBytes: Long,
) {
    private var unlogged = 0
    private var loggedAt = -Duration.INFINITE

    /** Records that an answer was dropped at [now]. */
    fun record(now: Duration) {
        metrics.answerDropped()
        unlogged++
        if (now - loggedAt < LOG_INTERVAL) return
        log.log(GatewayEvent.ANSWERS_DROPPED, unlogged, limitBytes)
        unlogged = 0
        loggedAt = now
    }

    private companion object {
        val LOG_INTERVAL = 1.seconds
    }
}
