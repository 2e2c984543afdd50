package io.poplarwood.gateway.runtime

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.http.CallerListener
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Drains an entry without aborting requests: it still serves new requests for a part of the grace period, and waits for
 * requests in flight until shortly before its end. Then it gives the remaining requests their final answers.
 */
internal class GracefulStop(
    private val requestHandler: RequestHandler,
    private val listeners: List<CallerListener>,
    private val ticker: Ticker,
    private val log: EventLog,
) {
    /**
     * Stops within [grace], after which the process is killed.
     *
     * @param announce tells callers and other entries to use other entries
     */
    suspend fun run(grace: Duration, announce: () -> Unit) {
        val startedAt = ticker.now()
        log.log(GatewayEvent.STOPPING, requestHandler.inFlight, grace.inWholeMilliseconds)
        announce()
        listeners.forEach { it.closesAfterResponse = true }
        while (ticker.now() - startedAt < grace * REFUSE_NEW_AFTER_SHARE) {
            delay(POLL_INTERVAL)
            if (ticker.now() - startedAt > grace * CLOSE_IDLE_AFTER_SHARE) closeIdle()
        }
        requestHandler.refusingNew = true
        listeners.forEach { it.close() }
        while (ticker.now() - startedAt < grace - MARGIN && requestHandler.inFlight > 0) {
            delay(POLL_INTERVAL)
            closeIdle()
        }
        requestHandler.finishAll()
        delay(POLL_INTERVAL * 2)
        log.log(GatewayEvent.STOPPED, requestHandler.inFlight, (ticker.now() - startedAt).inWholeMilliseconds)
    }

    private fun closeIdle() = listeners.forEach { it.closeIdle() }

    private companion object {
        val POLL_INTERVAL = 20.milliseconds

        /** Shares of the grace period after which idle connections are closed and new requests are refused. */
        const val CLOSE_IDLE_AFTER_SHARE = 0.4
        const val REFUSE_NEW_AFTER_SHARE = 0.5

        /** Reserve before the end of the grace period. */
        val MARGIN = 400.milliseconds
    }
}
