package io.poplarwood.gateway.peer

import io.poplarwood.api.random.SplitMix
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.decision.SlotDecision
import io.poplarwood.gateway.decision.SlotRequest
import io.poplarwood.gateway.support.SERVICE
import io.poplarwood.gateway.support.job
import io.poplarwood.gateway.upstream.UpstreamRow
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Callers of the active entries of [cluster], and upstreams that name rate limits, in virtual time.
 *
 * @param limits requests per second by upstream; may change while the simulation runs
 */
internal class LimitedUpstreams(
    private val scope: CoroutineScope,
    private val ticker: Ticker,
    private val cluster: SimulatedCluster,
    val limits: MutableMap<String, Double>,
    seed: Long,
) {
    private class Arrival(val upstream: String, val entry: String, val at: Duration)

    private val random = SplitMix(seed)
    private val arrivals = ArrayList<Arrival>()

    /** Names of entries that callers do not reach. */
    val withoutCallers = HashSet<String>()

    /** Numbers of requests that were served and refused. */
    var served = 0
        private set
    var refused = 0
        private set

    /** Starts callers that send [perSecond] requests in all. */
    fun start(perSecond: Int) = scope.launch {
        while (true) {
            delay((random.nextDouble() * 2_000 / perSecond).milliseconds)
            val reachable = cluster.entries.filter { entry ->
                entry.roles.active && entry.name !in cluster.stopped && entry.name !in withoutCallers
            }
            if (reachable.isNotEmpty()) send(reachable[random.nextInt(reachable.size)])
        }
    }

    private fun send(entry: SimulatedCluster.Entry) {
        val now = ticker.now()
        val request = SlotRequest(SERVICE, 0, now, job(), now + TARGET, now + DEADLINE, emptySet()) { decision ->
            if (decision is SlotDecision.Granted) scope.launch { serve(entry, decision.row) } else refused++
        }
        entry.offer(request)
    }

    private suspend fun serve(entry: SimulatedCluster.Entry, row: UpstreamRow) {
        val sentAt = ticker.now()
        delay(TRANSIT)
        arrivals += Arrival(row.id, entry.name, ticker.now())
        val limit = limits[row.id]
        delay(SERVICE_TIME)
        served++
        if (!entry.ended) entry.answered(row, limit, sentAt)
    }

    /** Number of requests that [upstream] received between [from] and [to]. */
    fun count(upstream: String, from: Duration, to: Duration): Int =
        arrivals.count { it.upstream == upstream && it.at in from..to }

    /**
     * Largest number of requests that [upstream] received within [window], among windows between [from] and [to], from
     * entries other than [excused].
     */
    fun most(upstream: String, window: Duration, from: Duration, to: Duration, excused: Set<String> = emptySet()): Int {
        val times = arrivals.filter {
            it.upstream == upstream && it.at in from..to && it.entry !in excused
        }.map { it.at }
        return times.maxOfOrNull { start -> times.count { it >= start && it < start + window } } ?: 0
    }

    private companion object {
        val TRANSIT = 1.milliseconds
        val SERVICE_TIME = 60.milliseconds
        val TARGET = 180.milliseconds
        val DEADLINE = 800.milliseconds
    }
}
