package io.poplarwood.entry.forward

import io.poplarwood.api.time.Ticker
import io.poplarwood.decision.routing.AttemptResult
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Runs over all exchanges that await the head of their answer: ends those past their deadline, and those whose
 * connection is silent while a fresh connection to the same upstream works.
 *
 * A request whose class usually takes long is not taken for silent before four times its recent 99th percentile, and
 * one whose class has no history is not judged: a slow request would look the same.
 *
 * @param probe finds out whether a fresh connection to an address brings an answer; false when the measuring budget
 *   allows no probe now
 * @param silent told the address of each connection found silent
 */
internal class ExchangeMonitor(
    private val ticker: Ticker,
    private val latencies: LatencyWindow,
    private val probe: (address: String, done: (Boolean) -> Unit) -> Boolean,
    private val silent: (String) -> Unit,
) {
    private val exchanges: MutableSet<Exchange> = ConcurrentHashMap.newKeySet()
    private val probes = ConcurrentHashMap<String, ProbeState>()

    /** Takes in an exchange that begins. */
    fun add(exchange: Exchange) {
        exchanges += exchange
    }

    /** Forgets an exchange that ended. */
    fun remove(exchange: Exchange) {
        exchanges -= exchange
    }

    /** Looks at every exchange once; called every few milliseconds. */
    fun tick() {
        val now = ticker.now()
        for (exchange in exchanges) {
            if (exchange.answering || exchange.verdict != null) continue
            if (now >= exchange.outbound.deadline) {
                exchange.end(if (exchange.handed) AttemptResult.TIMED_OUT else AttemptResult.CONNECT_FAILED)
            } else if (exchange.handed && !exchange.callerAwaited) {
                judge(exchange, now)
            }
        }
        probes.values.removeIf { !it.running && now - it.asked > KEPT }
    }

    private fun judge(exchange: Exchange, now: Duration) {
        val quiet = now - exchange.lastActivity
        if (quiet < FIRST_DOUBT) return
        val usual = latencies.p99(exchange.outbound.latencyKey) ?: return
        val doubt = maxOf(FIRST_DOUBT, usual * LATENCY_FACTOR)
        if (quiet < doubt) return
        val address = exchange.outbound.address
        val state = probes[address]
        val probeWorked = state?.answered?.let { it > exchange.lastActivity } == true
        if (!probeWorked) ask(address, state, now)
        if (probeWorked && quiet >= maxOf(SILENT, doubt)) {
            silent(address)
            exchange.end(AttemptResult.CONNECTION_SILENT)
        }
    }

    private fun ask(address: String, state: ProbeState?, now: Duration) {
        if (state != null && (state.running || now - state.asked < PROBE_SPACING)) return
        val asked = ProbeState(now)
        probes[address] = asked
        val allowed =
            probe(address) { worked ->
                if (worked) asked.answered = ticker.now()
                asked.running = false
            }
        if (!allowed) asked.running = false
    }

    private class ProbeState(val asked: Duration) {
        @Volatile
        var running: Boolean = true

        @Volatile
        var answered: Duration? = null
    }

    private companion object {
        val FIRST_DOUBT = 250.milliseconds
        const val LATENCY_FACTOR = 4

        /** Leaves 100 ms of the two seconds in which a silent connection must be replaced. */
        val SILENT = 1_900.milliseconds
        val PROBE_SPACING = 200.milliseconds
        val KEPT = 10_000.milliseconds
    }
}
