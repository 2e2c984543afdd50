package io.poplarwood.standins.upstream

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respondText
import io.ktor.server.routing.RoutingCall
import io.poplarwood.api.time.Ticker
import kotlinx.serialization.json.Json
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Health and load that the stand-in upstream reports; faults can delay or falsify both. */
internal class UpstreamReports(
    private val options: UpstreamOptions,
    private val slotLimiter: SlotLimiter,
    private val ticker: Ticker,
) {
    private val history = ArrayDeque(listOf(FaultChange(Duration.ZERO, UpstreamFaults())))

    var faults: UpstreamFaults
        get() = synchronized(history) { history.last().faults }
        set(value) = synchronized(history) {
            history.addLast(FaultChange(ticker.now(), value))
            if (history.size > MAX_FAULT_CHANGES) history.removeFirst()
        }

    /** Value of the load header. The header is part of a response and therefore never delayed. */
    fun loadHeader(): String = "${faults.reportedLoad ?: slotLimiter.inFlight}/${options.slots}"

    suspend fun respondHealth(call: RoutingCall, statistics: RequestStatistics) {
        statistics.probes.incrementAndGet()
        val reported = laggedFaults()
        val healthy = faults.healthLies || !(reported.draining || reported.failFast)
        val status = if (healthy) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
        call.respondText(if (healthy) "ok" else "failing", status = status)
    }

    suspend fun respondLoad(call: RoutingCall, statistics: RequestStatistics) {
        statistics.probes.incrementAndGet()
        val inFlight = faults.reportedLoad ?: slotLimiter.inFlight(faults.reportLagMs.milliseconds)
        call.respondText(Json.encodeToString(LoadReport(inFlight, options.slots)), ContentType.Application.Json)
    }

    private fun laggedFaults(): UpstreamFaults = synchronized(history) {
        val cutoff = ticker.now() - history.last().faults.reportLagMs.milliseconds
        (history.lastOrNull { it.validFrom <= cutoff } ?: history.first()).faults
    }

    private class FaultChange(val validFrom: Duration, val faults: UpstreamFaults)

    private companion object {
        const val MAX_FAULT_CHANGES = 256
    }
}
