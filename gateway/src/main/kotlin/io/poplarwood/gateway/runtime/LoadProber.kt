package io.poplarwood.gateway.runtime

import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.id.Zone
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.decision.ProbeChoice
import io.poplarwood.gateway.http.HeaderNames
import io.poplarwood.gateway.http.HttpCaller
import io.poplarwood.gateway.metrics.GatewayMetrics
import io.poplarwood.gateway.peer.LoadBoard
import io.poplarwood.gateway.peer.ProbeDuty
import io.poplarwood.gateway.store.StateBook
import io.poplarwood.gateway.upstream.LoadReport
import io.poplarwood.gateway.upstream.UpstreamRow
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds

/** Asks upstreams how slow they are and hands what they tell to all entries. */
internal class LoadProber(
    private val upstreams: UpstreamTable,
    private val choice: ProbeChoice,
    private val duty: ProbeDuty,
    private val book: StateBook,
    private val loads: LoadBoard,
    private val caller: HttpCaller,
    private val names: HeaderNames,
    private val metrics: GatewayMetrics,
    private val states: AvailabilityTracker,
    private val ticker: Ticker,
) {
    /** Asks those upstreams of this entry that are due. */
    fun tick(scope: CoroutineScope) {
        val services = book.state?.services ?: return
        val zones = HashMap<Zone, Boolean>()
        for ((name, spec) in services) {
            val due = choice.due(upstreams.of(name), ticker.now()) { row ->
                zones.getOrPut(row.record.zone) { duty.isFor(row.record.zone) }
            }
            for (row in due) scope.launch { probe(row, name, spec.healthPath) }
        }
    }

    private suspend fun probe(row: UpstreamRow, service: ServiceName, path: String) {
        val began = ticker.now()
        row.probedAt = began
        metrics.probed()
        val reply = caller.call(row.record.address, "GET", path, null, LIMIT, MOST_BYTES)
        val now = ticker.now()
        row.probeTook += (now - began - row.probeTook) * LEARNING
        // Another upstream may live at the address by now.
        if (reply == null || reply.headers[names.upstreamId] != row.id || row.record.service != service) return
        states.noticed(row, names.noticeOf(reply.status, reply.headers), now)
        LoadReport.parse(reply.headers[names.load])?.slowness?.let { loads.slowness(row, it, now) }
    }

    private companion object {
        val LIMIT = 150.milliseconds
        const val MOST_BYTES = 16 * 1024
        const val LEARNING = 0.2
    }
}
