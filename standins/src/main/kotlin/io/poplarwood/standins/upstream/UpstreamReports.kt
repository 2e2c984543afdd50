package io.poplarwood.standins.upstream

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respondText
import io.ktor.server.routing.RoutingCall
import io.poplarwood.api.time.Ticker
import kotlinx.serialization.json.Json
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What the upstream says about itself, which may be late or untrue. */
internal class UpstreamReports(private val options: UpstreamOptions, private val gate: SlotLimiter, private val ticker: Ticker) {
    private val history = ArrayDeque(listOf(Change(Duration.ZERO, UpstreamFaults())))

    var faults: UpstreamFaults
        get() = synchronized(history) { history.last().faults }
        set(value) = synchronized(history) {
            history.addLast(Change(ticker.now(), value))
            if (history.size > HISTORY) history.removeFirst()
        }

    /** Value of the load header. It travels with an answer and so does not lag. */
    fun header(): String = "${faults.reportedLoad ?: gate.inFlight}/${options.slots}"

    suspend fun health(call: RoutingCall, log: RequestStatistics) {
        log.probes.incrementAndGet()
        val seen = lagging()
        val well = faults.healthLies || !(seen.draining || seen.failFast)
        val status = if (well) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
        call.respondText(if (well) "ok" else "failing", status = status)
    }

    suspend fun load(call: RoutingCall, log: RequestStatistics) {
        log.probes.incrementAndGet()
        val inFlight = faults.reportedLoad ?: gate.inFlight(faults.reportLagMs.milliseconds)
        call.respondText(Json.encodeToString(LoadReport(inFlight, options.slots)), ContentType.Application.Json)
    }

    private fun lagging(): UpstreamFaults = synchronized(history) {
        val at = ticker.now() - history.last().faults.reportLagMs.milliseconds
        (history.lastOrNull { it.since <= at } ?: history.first()).faults
    }

    private class Change(val since: Duration, val faults: UpstreamFaults)

    private companion object {
        const val HISTORY = 256
    }
}
