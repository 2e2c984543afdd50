package io.poplarwood.entry.forward

import io.poplarwood.api.time.Ticker
import io.poplarwood.decision.routing.AttemptResult
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Monitors all exchanges that await the head of their response: ends those past their deadline, and those whose
 * connection is silent while a new connection to the same upstream works.
 *
 * A connection counts as silent only after four times the recent 99th percentile of the request's latency key. Without
 * a recent latency no connection counts as silent, since a slow request would look the same.
 *
 * @param probe tests whether an address responds on a new connection and calls `done` with the result; returns false
 *   when the probe budget allows no probe now
 * @param onSilent called with the upstream address of each connection found silent
 */
internal class ExchangeMonitor(
    private val ticker: Ticker,
    private val latencies: LatencyWindow,
    private val probe: (address: String, done: (Boolean) -> Unit) -> Boolean,
    private val onSilent: (String) -> Unit,
) {
    private val exchanges: MutableSet<Exchange> = ConcurrentHashMap.newKeySet()
    private val probes = ConcurrentHashMap<String, ProbeState>()

    /** Starts monitoring [exchange]. */
    fun add(exchange: Exchange) {
        exchanges += exchange
    }

    /** Stops monitoring [exchange]. */
    fun remove(exchange: Exchange) {
        exchanges -= exchange
    }

    /** Checks every exchange once; called periodically, every few tens of milliseconds. */
    fun checkExchanges() {
        val now = ticker.now()
        for (exchange in exchanges) {
            if (exchange.headReceived || exchange.forcedResult != null) continue
            if (now >= exchange.outbound.deadline) {
                exchange.endWith(
                    if (exchange.handedToConnection) AttemptResult.TIMED_OUT else AttemptResult.CONNECT_FAILED,
                )
            } else if (exchange.handedToConnection && !exchange.awaitsCaller) {
                checkSilence(exchange, now)
            }
        }
        probes.values.removeIf { !it.running && now - it.startedAt > PROBE_RETENTION }
    }

    private fun checkSilence(exchange: Exchange, now: Duration) {
        val silentFor = now - exchange.lastActivity
        if (silentFor < PROBE_AFTER) return
        val usualLatency = latencies.p99(exchange.outbound.latencyKey) ?: return
        val suspicionThreshold = maxOf(PROBE_AFTER, usualLatency * LATENCY_FACTOR)
        if (silentFor < suspicionThreshold) return
        val address = exchange.outbound.address
        val state = probes[address]
        val probeSucceeded = state?.answeredAt?.let { it > exchange.lastActivity } == true
        if (!probeSucceeded) requestProbe(address, state, now)
        if (probeSucceeded && silentFor >= maxOf(CLOSE_AFTER, suspicionThreshold)) {
            onSilent(address)
            exchange.endWith(AttemptResult.CONNECTION_SILENT)
        }
    }

    private fun requestProbe(address: String, state: ProbeState?, now: Duration) {
        if (state != null && (state.running || now - state.startedAt < PROBE_INTERVAL)) return
        val started = ProbeState(now)
        probes[address] = started
        val allowed =
            probe(address) { succeeded ->
                if (succeeded) started.answeredAt = ticker.now()
                started.running = false
            }
        if (!allowed) started.running = false
    }

    private class ProbeState(val startedAt: Duration) {
        @Volatile
        var running: Boolean = true

        @Volatile
        var answeredAt: Duration? = null
    }

    private companion object {
        val PROBE_AFTER = 250.milliseconds
        const val LATENCY_FACTOR = 4

        /**
         * A silent connection must be replaced and the request answered within 2 s. A retry may take a quarter of this
         * time before [LATENCY_FACTOR] defers the detection further, which leaves over 400 ms for everything else.
         */
        val CLOSE_AFTER = 1_250.milliseconds
        val PROBE_INTERVAL = 200.milliseconds
        val PROBE_RETENTION = 10_000.milliseconds
    }
}
