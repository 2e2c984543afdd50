package io.poplarwood.bench.overhead

import io.poplarwood.api.id.ClassName
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.outcome.Refusal
import io.poplarwood.api.work.ClassSpec
import io.poplarwood.api.work.Rank
import io.poplarwood.api.work.ServiceDocument
import io.poplarwood.api.work.Target
import io.poplarwood.bench.api.Bench
import io.poplarwood.bench.api.BenchCheck
import io.poplarwood.bench.api.BenchOptions
import io.poplarwood.bench.api.BenchReport
import io.poplarwood.bench.api.BenchRow
import io.poplarwood.bench.api.BenchTable
import io.poplarwood.decision.dispatch.Call
import io.poplarwood.decision.dispatch.Command
import io.poplarwood.decision.routing.AttemptObservation
import io.poplarwood.entry.http.CallServer
import io.poplarwood.entry.runtime.CallRunner
import io.poplarwood.entry.settings.HttpSettings
import org.HdrHistogram.Histogram
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Time that an entry adds to a call, against direct calls to the same upstream in the same run, over real loopback
 * connections. Callers, entry and upstream share the machine and the process.
 *
 * The first second after the start is measured first, while the process is cold; the system property
 * `poplarwood.bench.warmup` set to `false` leaves the warm-up out.
 */
class OverheadBench : Bench {
    override val name = "overhead"
    override val summary = "Time, processor time and memory that an entry adds to a call"

    override suspend fun run(options: BenchOptions): BenchReport {
        val time = if (options.quick) QUICK else FULL
        val warm = System.getProperty("poplarwood.bench.warmup", "true").toBoolean()
        EchoUpstream().use { upstream ->
            val server = server(upstream.port)
            server.start()
            try {
                val warmed = if (warm) server.warmUp() else 0
                val first = EchoLoad(server.port, FIRST_CONNECTIONS).latencies(FIRST_RATE, 1.seconds)
                EchoLoad(upstream.port, CONNECTIONS).capacity(time)
                EchoLoad(server.port, CONNECTIONS).capacity(time)
                val capacity = EchoLoad(server.port, CONNECTIONS).capacity(time)
                val rate = capacity * LOAD
                val direct = EchoLoad(upstream.port, CONNECTIONS).latencies(rate, time)
                val before = ThreadUse.now()
                val added = EchoLoad(server.port, CONNECTIONS).latencies(rate, time)
                val used = ThreadUse.now().mapValues { (stage, use) -> use - (before[stage] ?: ThreadUse(0, 0)) }
                return report(options, capacity, direct, added, used, first, warmed)
            } finally {
                server.stop()
            }
        }
    }

    private fun server(upstreamPort: Int): CallServer {
        val upstream = UpstreamId("127.0.0.1:$upstreamPort", "bench")
        val runner =
            object : CallRunner {
                override suspend fun run(
                    call: Call,
                    attempt: suspend (Command.Dispatch) -> AttemptObservation,
                ): Refusal? {
                    attempt(Command.Dispatch(call.id, 1, upstream))
                    return null
                }
            }
        return CallServer(
            settings = HttpSettings(host = "127.0.0.1", port = 0, upstreamConnections = 2 * CONNECTIONS),
            documents = { if (it == SERVICE) DOCUMENT else null },
            runners = { if (it == SERVICE) runner else null },
            ticker = { System.nanoTime().nanoseconds },
        )
    }

    private fun report(
        options: BenchOptions,
        capacity: Double,
        direct: Histogram,
        through: Histogram,
        used: Map<String, ThreadUse>,
        first: Histogram,
        warmed: Int,
    ): BenchReport {
        val calls = through.totalCount.toDouble()
        val entry = STAGES.map { it to (used[it] ?: ThreadUse(0, 0)) }
        val cpu = entry.sumOf { it.second.cpuNanos }
        val p50 = ms(through, P50) - ms(direct, P50)
        val p99 = ms(through, P99) - ms(direct, P99)
        val latency =
            BenchTable(
                "latency at ${(LOAD * 100).toInt()}% of ${capacity.toInt()} calls/s",
                listOf("p50 ms", "p99 ms", "p99.9 ms"),
                listOf(
                    BenchRow("direct", listOf(ms(direct, P50), ms(direct, P99), ms(direct, P999))),
                    BenchRow("through the entry", listOf(ms(through, P50), ms(through, P99), ms(through, P999))),
                    BenchRow("added", listOf(p50, p99, ms(through, P999) - ms(direct, P999))),
                ),
            )
        val cost =
            BenchTable(
                "cost of a call in the entry",
                listOf("calls/s per core", "us of processor", "bytes allocated"),
                listOf(
                    BenchRow(
                        "entry",
                        listOf(
                            calls / (cpu / NANOS),
                            cpu / calls / MICRO,
                            entry.sumOf { it.second.allocatedBytes } / calls,
                        ),
                    ),
                ),
            )
        val stages =
            BenchTable(
                "stages of the entry",
                listOf("share of processor", "us of processor", "bytes allocated"),
                entry.map { (stage, use) ->
                    val share = use.cpuNanos.toDouble() / cpu
                    BenchRow(stage, listOf(share, use.cpuNanos / calls / MICRO, use.allocatedBytes / calls))
                },
            )
        val start =
            BenchTable(
                "first second after the start, ${FIRST_RATE.toInt()} calls/s, $warmed requests of warm-up",
                listOf("p50 ms", "p99 ms", "max ms"),
                listOf(
                    BenchRow(
                        "through the entry",
                        listOf(
                            ms(first, P50),
                            ms(first, P99),
                            first.maxValue / NANOS_PER_MS,
                        ),
                    ),
                ),
            )
        val checks = listOf(BenchCheck("p99 added, ms", p99, TARGET_MS))
        return BenchReport(name, options.seed, listOf(latency, cost, stages, start), checks)
    }

    private fun ms(histogram: Histogram, percentile: Double) =
        histogram.getValueAtPercentile(percentile) / NANOS_PER_MS

    private companion object {
        const val CONNECTIONS = 32
        const val FIRST_CONNECTIONS = 16
        const val FIRST_RATE = 1_000.0
        const val LOAD = 0.6
        const val P50 = 50.0
        const val P99 = 99.0
        const val P999 = 99.9
        const val NANOS = 1e9
        const val NANOS_PER_MS = 1e6
        const val MICRO = 1e3

        /** Design, 1.6: latency added to a call for 99 in 100 calls. */
        const val TARGET_MS = 1.4
        val QUICK: Duration = 1.seconds
        val FULL: Duration = 8.seconds
        val STAGES = listOf("listener", "client", "dispatchers")
        val SERVICE = ServiceName("counter")
        val CLASS = ClassName("checks")
        val DOCUMENT =
            ServiceDocument(SERVICE, listOf(ClassSpec(CLASS, Rank.URGENT, Target(servedWithinMs = 100))), CLASS)
    }
}
