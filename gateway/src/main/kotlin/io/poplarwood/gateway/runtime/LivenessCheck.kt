package io.poplarwood.gateway.runtime

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.upstream.UpstreamRow
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tells an upstream that has ended from a connection that broke: an upstream that lives accepts new connections.
 *
 * @param reaches whether an address accepts a connection
 */
internal class LivenessCheck(
    private val reaches: suspend (address: String) -> Boolean,
    private val upstreams: UpstreamTable,
    private val ticker: Ticker,
    private val scope: CoroutineScope,
) {
    private val running = HashMap<UpstreamRow, Deferred<Boolean>>()

    /** Whether [row] has ended now; one look serves all who ask at about the same time. */
    suspend fun hasEnded(row: UpstreamRow): Boolean =
        running.getOrPut(row) { scope.async { look(row).also { running.remove(row) } } }.await()

    private suspend fun look(row: UpstreamRow): Boolean {
        val asked = ticker.now()
        delay(SETTLING)
        val registered = upstreams[row.id]
        if (registered != null && registered !== row) return true
        if (reaches(row.record.address) || heardOf(row, asked + ON_THE_WAY)) return false
        return reachesAnother(row)
    }

    /** It told of itself, to this entry or another one. */
    private fun heardOf(row: UpstreamRow, after: Duration) = maxOf(row.slownessAt, row.lastAnswerAt) > after

    /** Where nothing can be reached, it is this entry that is cut off. */
    private suspend fun reachesAnother(row: UpstreamRow): Boolean =
        upstreams.all.filter { it !== row && it.availability.failures == 0 }.sortedByDescending { it.lastAnswerAt }
            .take(OTHERS).any { reaches(it.record.address) }

    private companion object {
        /** The other connections of an upstream that ends, and its address, close within this time. */
        val SETTLING = 100.milliseconds

        /** News of what an upstream told earlier arrive within this time. */
        val ON_THE_WAY = 60.milliseconds

        /** Other upstreams that are tried before this entry counts as cut off. */
        const val OTHERS = 2
    }
}
