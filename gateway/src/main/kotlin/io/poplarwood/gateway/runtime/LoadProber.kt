package io.poplarwood.gateway.runtime

import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.id.Zone
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.decision.ProbeSelector
import io.poplarwood.gateway.http.EntryHttpClient
import io.poplarwood.gateway.http.HeaderNames
import io.poplarwood.gateway.metrics.GatewayMetrics
import io.poplarwood.gateway.peer.LoadGossip
import io.poplarwood.gateway.peer.ProbeAssignment
import io.poplarwood.gateway.store.StateReplica
import io.poplarwood.gateway.upstream.LoadReport
import io.poplarwood.gateway.upstream.UpstreamRow
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds

/**
 * Probes upstreams for their load and shares the slowness that they report with the other entries.
 *
 * @param path where an upstream that is registered at an address is reached
 */
internal class LoadProber(
    private val upstreams: UpstreamTable,
    private val probeChoice: ProbeSelector,
    private val probeDuty: ProbeAssignment,
    private val stateBook: StateReplica,
    private val loadBoard: LoadGossip,
    private val httpClient: EntryHttpClient,
    private val headerNames: HeaderNames,
    private val metrics: GatewayMetrics,
    private val availability: AvailabilityTracker,
    private val crashes: CrashDetector,
    private val ticker: Ticker,
    private val path: (address: String) -> String,
) {
    /** Starts probes of the upstreams that this entry has to probe and that are due. */
    fun probeDueUpstreams(scope: CoroutineScope) {
        val services = stateBook.state?.services ?: return
        val zones = HashMap<Zone, Boolean>()
        for ((name, spec) in services) {
            val due = probeChoice.selectDue(upstreams.of(name), ticker.now()) { row ->
                zones.getOrPut(row.record.zone) { probeDuty.isAssigned(row.record.zone) }
            }
            for (row in due) scope.launch { probe(row, name, spec.healthPath) }
        }
    }

    private suspend fun probe(row: UpstreamRow, service: ServiceName, healthPath: String) {
        val sentAt = ticker.now()
        row.probedAt = sentAt
        row.recentSends.add(sentAt)
        metrics.probeSent()
        val address = path(row.record.address)
        val reply = httpClient.call(address, "GET", healthPath, null, PROBE_TIMEOUT, MAX_REPLY_BYTES)
        val now = ticker.now()
        row.probeDuration += (now - sentAt - row.probeDuration) * PROBE_TIME_SMOOTHING
        // Another upstream may run at this address by now.
        if (reply == null || reply.headers[headerNames.upstreamId] != row.id || row.record.service != service) return
        crashes.upstreamAnswered(row, reply.connectedAt, reply.earlierCallSentAt ?: now)
        val notice = headerNames.parseNotice(reply.status, reply.headers)
        // A second reply with this notice would renew it after its end.
        if (notice.restrictsRequests) httpClient.closeIdle(address)
        availability.applyNotice(row, notice, reply.earlierCallSentAt ?: sentAt, now, endsLimit = false)
        // A rare late copy costs less than dating all reports back, as older ones do not show that an upstream is fast.
        LoadReport.parse(reply.headers[headerNames.load])?.slowness?.let { loadBoard.recordSlowness(row, it, now) }
    }

    private companion object {
        val PROBE_TIMEOUT = 150.milliseconds
        const val MAX_REPLY_BYTES = 16 * 1024

        /** Weight of the newest probe in the smoothed probe duration. */
        const val PROBE_TIME_SMOOTHING = 0.2
    }
}
