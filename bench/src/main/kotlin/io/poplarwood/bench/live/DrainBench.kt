package io.poplarwood.bench.live

import io.poplarwood.bench.api.Bench
import io.poplarwood.bench.api.BenchCheck
import io.poplarwood.bench.api.BenchOptions
import io.poplarwood.bench.api.BenchReport
import io.poplarwood.entry.node.SystemTicker
import io.poplarwood.standins.platform.PlatformFaults
import io.poplarwood.standins.upstream.StandInUpstream
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Planned stops under load over real connections: requests cut, and the time until the last new request. */
class DrainBench : Bench {
    override val name: String = "drain"
    override val summary: String = "planned stops under load: requests cut and time until the last new request"

    override suspend fun run(options: BenchOptions): BenchReport {
        val live = LiveRun(options)
        val results = CASES.map { it to live.run(it) }
        val checks = results.flatMap { (case, r) ->
            listOf(
                BenchCheck("${case.name}: requests cut", r.cut.toDouble(), 0.0),
                BenchCheck("${case.name}: orders unknown", r.unknown.toDouble(), 0.0),
                BenchCheck("${case.name}: orders that ran twice", r.twice.toDouble(), 0.0),
            )
        }
        val leaving = results.filter { !it.second.measuredMs.isNaN() }
            .map { (case, r) -> BenchCheck("${case.name}: last new request, ms", r.measuredMs, LEAVING_MS) }
        val table = liveTable("Planned stops", "last new request, ms", results)
        return BenchReport(name, options.seed, listOf(table, reasonTable(results)), checks + leaving)
    }

    private companion object {
        /** A leaving upstream gets no new work after 3 s. */
        const val LEAVING_MS = 3_000.0
        val WATCH = 5.seconds
        val POLL = 10.milliseconds

        val CASES = listOf(
            LiveCase("an entry stops") { cell ->
                check(cell.entries[0].drain())
                Double.NaN
            },
            LiveCase("an upstream says that it drains") { cell ->
                val upstream = cell.upstreams[0]
                upstream.fault { copy(draining = true) }
                lastChange { upstream.stats().drained }
            },
            LiveCase("the list says that an upstream leaves") { cell ->
                val upstream = cell.upstreams[0]
                cell.platform.markLeaving(upstream.address)
                lastStart(upstream)
            },
            LiveCase("an upstream drains while the platform is down") { cell ->
                cell.platform.faults = PlatformFaults(down = true)
                val upstream = cell.upstreams[0]
                upstream.fault { copy(draining = true) }
                lastChange { upstream.stats().drained }
            },
            LiveCase("every entry is replaced in turn") { cell ->
                repeat(cell.entries.size) { n ->
                    cell.startEntry()
                    delay(1.seconds)
                    check(cell.entries[n].drain())
                }
                Double.NaN
            },
        )

        suspend fun lastStart(upstream: StandInUpstream): Double = lastChange { upstream.stats().started }

        /** Milliseconds from now until [count] grew for the last time, as far as a few seconds tell. */
        suspend fun lastChange(count: () -> Long): Double {
            val begun = SystemTicker.now()
            var seen = count()
            var last = Duration.ZERO
            while (SystemTicker.now() - begun < WATCH) {
                delay(POLL)
                val next = count()
                if (next != seen) last = SystemTicker.now() - begun
                seen = next
            }
            return last.toDouble(DurationUnit.MILLISECONDS)
        }
    }
}
