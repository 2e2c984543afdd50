package io.poplarwood.bench.live

import io.ktor.client.HttpClient
import io.ktor.client.engine.apache5.Apache5
import io.ktor.client.request.header
import io.ktor.client.request.put
import io.poplarwood.api.http.Headers
import io.poplarwood.bench.api.Bench
import io.poplarwood.bench.api.BenchCheck
import io.poplarwood.bench.api.BenchOptions
import io.poplarwood.bench.api.BenchReport
import io.poplarwood.entry.node.SystemTicker
import io.poplarwood.standins.platform.PlatformFaults
import io.poplarwood.standins.upstream.StandInHeaders
import kotlinx.coroutines.delay
import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Faults under load over real connections: requests lost, run twice and falsely called not run. */
class FaultsBench : Bench {
    override val name: String = "faults"
    override val summary: String = "faults under load: requests lost, run twice, falsely not-run, time to recover"

    override suspend fun run(options: BenchOptions): BenchReport {
        val live = LiveRun(options)
        val results = CASES.map { it to live.run(it) }
        val checks = results.flatMap { (case, r) ->
            val always = listOf(
                BenchCheck("${case.name}: orders that ran twice", r.twice.toDouble(), 0.0),
                BenchCheck("${case.name}: orders falsely not-run", r.falselyNotRun.toDouble(), 0.0),
            )
            // The connections of a killed entry are lost with it, and their callers see that.
            if (case === KILL) always else always + BenchCheck("${case.name}: requests cut", r.cut.toDouble(), 0.0)
        }
        val crash = results.first { it.first === CRASH }.second.crashes.toDouble()
        val most = BenchCheck("upstreams that one crashing request takes down", crash, MOST_CRASHES)
        val table = liveTable("Faults", "measured, ms", results)
        return BenchReport(name, options.seed, listOf(table, reasonTable(results)), checks + most)
    }

    private companion object {
        const val MOST_CRASHES = 3.0
        const val RESENDS = 12
        val OUTAGE = 4.seconds
        val POLL = 20.milliseconds

        val KILL = LiveCase("an entry is killed") { cell ->
            cell.entries[0].stop(announce = false)
            Double.NaN
        }

        val CRASH = LiveCase("a request crashes every upstream that runs it") { cell ->
            HttpClient(Apache5) { expectSuccess = false }.use { client ->
                repeat(RESENDS) { n -> crash(client, cell.addresses[n % cell.addresses.size]) }
            }
            Double.NaN
        }

        val CASES = listOf(
            LiveCase("connections of an upstream go silent") { cell ->
                cell.upstreams[0].silenceConnections()
                Double.NaN
            },
            LiveCase("an upstream crashes and returns") { cell ->
                cell.upstreams[0].crash(1.seconds)
                Double.NaN
            },
            CRASH,
            LiveCase("the platform is down") { cell ->
                cell.platform.faults = PlatformFaults(down = true)
                delay(OUTAGE)
                cell.platform.faults = PlatformFaults()
                val back = SystemTicker.now()
                while (cell.entries.any { it.refusal != null }) delay(POLL)
                (SystemTicker.now() - back).toDouble(DurationUnit.MILLISECONDS)
            },
            KILL,
        )

        /** The caller of such a request sends it again through any entry. */
        suspend fun crash(client: HttpClient, address: String) {
            try {
                client.put("http://$address/import/poison") {
                    header(Headers.SERVICE, LiveCell.SERVICE.value)
                    header(Headers.DEADLINE_MS, CRASH_DEADLINE_MS)
                    header(StandInHeaders.CRASH, "1")
                }
            } catch (_: IOException) {
                // The caller only wants to send it again.
            }
        }

        const val CRASH_DEADLINE_MS = 700
    }
}
