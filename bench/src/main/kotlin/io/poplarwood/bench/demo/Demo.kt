package io.poplarwood.bench.demo

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.poplarwood.api.id.Zone
import io.poplarwood.api.time.Ticker
import io.poplarwood.api.work.ServiceDocument
import io.poplarwood.bench.load.LoadGenerator
import io.poplarwood.bench.load.LoadReport
import io.poplarwood.entry.operator.ChangeOutcome
import io.poplarwood.entry.operator.OperatorClient
import io.poplarwood.standins.platform.PlatformServer
import io.poplarwood.standins.platform.StandInPlatform
import io.poplarwood.standins.upstream.StandInUpstream
import io.poplarwood.standins.upstream.UpstreamOptions
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A cell in one process: stand-in platform and upstreams, three entries, load of all ranks with a flood and the crash
 * of an upstream.
 *
 * @property directory an empty directory for the secret and the token
 * @property note takes a line about each step
 */
class Demo(
    private val factory: EntryFactory,
    directory: Path,
    private val ticker: Ticker,
    private val seed: Long,
    private val note: (String) -> Unit,
) {
    private val platform = StandInPlatform()
    private val server = PlatformServer(platform)
    private val upstreams = mutableListOf<StandInUpstream>()
    private val entries = mutableListOf<RunningEntry>()
    private val places = DemoPlaces(directory)

    /** Sends load for [duration], stops everything and reports. */
    suspend fun run(duration: Duration): DemoReport =
        try {
            start()
            val classes = measure(duration)
            report(duration, classes)
        } finally {
            stop()
        }

    private suspend fun start() {
        server.start()
        startUpstreams()
        repeat(ENTRIES) {
            entries += factory.start(places.settings(server.address, entries.map { it.peersAddress }))
        }
        entries.forEach { awaitReady(it) }
        note("${upstreams.size} upstreams; entries at ${entries.joinToString { it.callersAddress }}")
        client().use { client -> DemoScenario.documents.forEach { accept(client, it) } }
        note("operators: --entry ${entries.first().operatorsAddress} --token-file ${places.tokens}")
        note("the classes of ${DemoScenario.documents.size} services are in force")
    }

    private suspend fun startUpstreams() {
        DemoScenario.upstreams.forEach { (service, count) ->
            repeat(count) { n ->
                val options = UpstreamOptions(service, slots = DemoScenario.SLOTS, seed = seed + n)
                val upstream = StandInUpstream(options, ticker).start()
                upstreams += upstream
                platform.putVm(upstream.record(Zone("zone-${n % ENTRIES + 1}")))
            }
        }
    }

    private suspend fun awaitReady(entry: RunningEntry) {
        val until = ticker.now() + READY_WITHIN
        OperatorClient(listOf(entry.operatorsAddress), places.token).use { client ->
            while (client.ready().get()?.ready != true) {
                check(ticker.now() < until) { "the entry at ${entry.callersAddress} is not ready: ${client.ready()}" }
                delay(ASK_AGAIN)
            }
        }
    }

    /** An entry that has only just joined refuses changes for a moment, so this asks again for a while. */
    private suspend fun accept(client: OperatorClient, document: ServiceDocument) {
        val until = ticker.now() + ACCEPT_WITHIN
        val text = Json.encodeToString(document)
        while (true) {
            val outcome = client.change(document.service, text, expectVersion = 0, wait = true).get()
            if (outcome is ChangeOutcome.Accepted) return
            check(ticker.now() < until) { "the classes of ${document.service} were not accepted: $outcome" }
            delay(ASK_AGAIN)
        }
    }

    private suspend fun measure(duration: Duration): List<LoadReport> = coroutineScope {
        val known = entries.map { it.callersAddress }
        val load = LoadGenerator(DemoScenario.load(duration), known, ticker, seed)
        val crash = launch {
            delay(duration / 2)
            note("an upstream of ${upstreams.first().options.service} crashes for ${CRASHED.inWholeSeconds} s")
            upstreams.first().crash(CRASHED)
        }
        val classes = async { load.use { it.run(duration) } }.await()
        crash.join()
        classes
    }

    private suspend fun report(duration: Duration, classes: List<LoadReport>): DemoReport {
        val metrics = entries.mapNotNull { entry ->
            OperatorClient(listOf(entry.operatorsAddress), places.token).use { it.metrics().getOrElse { null } }
        }
        return DemoReport(
            seconds = duration.inWholeSeconds.toInt(),
            entries = entries.size,
            upstreams = upstreams.size,
            classes = classes,
            retried = RetryCounts.sum(metrics),
            crashes = upstreams.sumOf { it.stats().crashes },
            doubleRuns = doubleRuns(),
        )
    }

    private fun doubleRuns(): Int =
        upstreams.flatMap { it.runs().entries }.groupBy({ it.key }, { it.value }).count { it.value.sum() > 1 }

    private fun client() = OperatorClient(entries.map { it.operatorsAddress }, places.token)

    private suspend fun stop() {
        entries.forEach { it.stop() }
        upstreams.forEach { it.stop() }
        server.stop()
    }

    private companion object {
        const val ENTRIES = 3
        val ACCEPT_WITHIN = 30.seconds
        val READY_WITHIN = 30.seconds
        val ASK_AGAIN = 250.milliseconds
        val CRASHED = 2.seconds
    }
}
