package io.poplarwood.gateway.runtime

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.http.ConnectResult
import io.poplarwood.gateway.upstream.UpstreamRow
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Checks whether an upstream that lost a connection has ended. One that accepts a new connection may have started again
 * meanwhile, so this is a presumption only.
 *
 * @param tryConnect tries to open a connection to an `ip:port`
 */
internal class LivenessCheck(
    private val tryConnect: suspend (address: String) -> ConnectResult,
    private val upstreams: UpstreamTable,
    private val ticker: Ticker,
    private val scope: CoroutineScope,
) {
    private val pendingChecks = HashMap<UpstreamRow, Deferred<Liveness>>()

    /** Checks [row]. Concurrent calls for the same upstream share one check. */
    suspend fun check(row: UpstreamRow): Liveness =
        pendingChecks.getOrPut(row) { scope.async { checkNow(row).also { pendingChecks.remove(row) } } }.await()

    private suspend fun checkNow(row: UpstreamRow): Liveness {
        val startedAt = ticker.now()
        delay(SETTLE_TIME)
        val registered = upstreams[row.id]
        if (registered != null && registered !== row) return Liveness.ENDED
        val result = tryConnect(row.record.address)
        return when {
            result == ConnectResult.ACCEPTED || reportedSince(row, startedAt + MAX_UPDATE_DELAY) -> Liveness.ACCEPTING
            result == ConnectResult.REFUSED -> Liveness.ENDED
            else -> Liveness.SILENT
        }
    }

    /** Whether [row] answered or reported its load so lately that a check is needless. */
    fun isKnownRunning(row: UpstreamRow): Boolean = reportedSince(row, ticker.now() - MAX_UPDATE_DELAY * 2)

    /** Whether [row] answered this entry, or reported its load to any entry, later than [after]. */
    private fun reportedSince(row: UpstreamRow, after: Duration) = maxOf(row.slownessAt, row.lastAnswerAt) > after

    private companion object {
        /** An upstream that ends closes its other connections and its listening port within this time of the first. */
        val SETTLE_TIME = 100.milliseconds

        /** Load updates arrive within this time, so one that arrives later was reported after the check began. */
        val MAX_UPDATE_DELAY = 60.milliseconds
    }
}
