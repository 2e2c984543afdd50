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
 * Distinguishes an upstream that has ended from one that only lost a connection: a running upstream accepts new
 * connections.
 *
 * @param tryConnect tries to open a connection to an `ip:port`
 */
internal class LivenessCheck(
    private val tryConnect: suspend (address: String) -> ConnectResult,
    private val upstreams: UpstreamTable,
    private val ticker: Ticker,
    private val scope: CoroutineScope,
) {
    private val pendingChecks = HashMap<UpstreamRow, Deferred<Boolean>>()

    /** Whether [row] has ended. Concurrent calls for the same upstream share one check. */
    suspend fun hasEnded(row: UpstreamRow): Boolean =
        pendingChecks.getOrPut(row) { scope.async { check(row).also { pendingChecks.remove(row) } } }.await()

    private suspend fun check(row: UpstreamRow): Boolean {
        val startedAt = ticker.now()
        delay(SETTLE_TIME)
        val registered = upstreams[row.id]
        if (registered != null && registered !== row) return true
        val result = tryConnect(row.record.address)
        if (result == ConnectResult.ACCEPTED || reportedSince(row, startedAt + MAX_UPDATE_DELAY)) return false
        // A refusal comes from the VM of the upstream, so this entry is not cut off from it.
        return result == ConnectResult.REFUSED || reachesOtherUpstream(row)
    }

    /** Whether [row] answered or reported its load so lately that a check is needless. */
    fun isKnownRunning(row: UpstreamRow): Boolean = reportedSince(row, ticker.now() - MAX_UPDATE_DELAY * 2)

    /** Whether [row] answered this entry, or reported its load to any entry, later than [after]. */
    private fun reportedSince(row: UpstreamRow, after: Duration) = maxOf(row.slownessAt, row.lastAnswerAt) > after

    /** Whether any other upstream accepts a connection; if none does, this entry itself is cut off. */
    private suspend fun reachesOtherUpstream(row: UpstreamRow): Boolean =
        upstreams.all.filter { it !== row && it.availability.failures == 0 }.sortedByDescending { it.lastAnswerAt }
            .take(MAX_OTHERS_TRIED).any { tryConnect(it.record.address) == ConnectResult.ACCEPTED }

    private companion object {
        /** An upstream that ends closes its other connections and its listening port within this time of the first. */
        val SETTLE_TIME = 100.milliseconds

        /** Load updates arrive within this time, so one that arrives later was reported after the check began. */
        val MAX_UPDATE_DELAY = 60.milliseconds

        /** Number of other upstreams that are tried before this entry counts as cut off. */
        const val MAX_OTHERS_TRIED = 2
    }
}
