package io.poplarwood.bench.live

import io.poplarwood.api.id.ClassName
import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.id.Zone
import io.poplarwood.api.work.ClassSpec
import io.poplarwood.api.work.MatchRule
import io.poplarwood.api.work.Rank
import io.poplarwood.api.work.ServiceDocument
import io.poplarwood.api.work.Target
import io.poplarwood.entry.node.EntryNode
import io.poplarwood.entry.node.NodeSettings
import io.poplarwood.entry.node.Platform
import io.poplarwood.entry.node.SystemTicker
import io.poplarwood.entry.settings.HttpSettings
import io.poplarwood.fleet.config.ChangeRequest
import io.poplarwood.fleet.config.ChangeResult
import io.poplarwood.fleet.recovery.StoreBudget
import io.poplarwood.standins.platform.StandInPlatform
import io.poplarwood.standins.upstream.StandInUpstream
import io.poplarwood.standins.upstream.UpstreamOptions
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Real entries over loopback with a stand-in platform and stand-in upstreams of one service. */
internal class LiveCell(private val seed: Long) {
    val platform = StandInPlatform()
    val entries = mutableListOf<EntryNode>()
    val upstreams = mutableListOf<StandInUpstream>()

    /** Callers' addresses of all entries. */
    val addresses: List<String> get() = entries.map { it.callersAddress }

    /** Starts everything and brings the document into force. */
    suspend fun start() {
        repeat(UPSTREAMS) { n ->
            val made = StandInUpstream(UpstreamOptions(SERVICE, seed = seed + n)).start()
            upstreams += made
            platform.putVm(made.record(zone(n)))
        }
        repeat(ENTRIES) { startEntry() }
        withTimeout(START_LIMIT) {
            while (entries.any { it.refusal != null }) delay(POLL)
            while (!configure()) delay(POLL)
            while (entries.any { e -> !e.serves(SERVICE) }) delay(POLL)
        }
    }

    /** Starts one more entry. */
    suspend fun startEntry() {
        val n = entries.size
        val settings = NodeSettings(
            EntryId("entry-$n"),
            "bench",
            zone(n),
            HOST,
            HttpSettings(host = HOST, port = 0, callerConnections = 8_192, callerThreads = 1, upstreamThreads = 1),
            HOST,
            0,
            SECRET.toByteArray(),
            seeds = entries.map { it.peerAddress },
            budget = StoreBudget(maxEntries = MAX_ENTRIES),
            advertisementLifetime = NAMED_FOR,
        )
        val ports = Platform(platform.table, platform.objects, platform.vms)
        val made = EntryNode(settings, ports, SystemTicker, Clock.System, seed + n)
        made.start()
        entries += made
    }

    /** Stops what still runs. */
    suspend fun stop() {
        entries.forEach { it.stop() }
        upstreams.forEach { it.stop() }
    }

    /** Runs by the caller's part of the idempotency key, over all upstreams. */
    fun runs(): Map<String, Int> = upstreams.flatMap { it.runs().entries }
        .groupBy({ it.key.split('.', limit = KEY_PARTS).last() }, { it.value })
        .mapValues { it.value.sum() }

    private suspend fun configure(): Boolean {
        val result = entries.first().change(ChangeRequest("bench", "bench", DOCUMENT, 0))
        return result is ChangeResult.Accepted || result is ChangeResult.Conflict
    }

    private fun zone(n: Int) = Zone("zone-${n % ZONES}")

    companion object {
        val SERVICE = ServiceName("counter")
        private const val HOST = "127.0.0.1"
        private const val SECRET = "bench"
        private const val ENTRIES = 3
        private const val UPSTREAMS = 6
        private const val ZONES = 3
        private const val MAX_ENTRIES = 8
        private const val KEY_PARTS = 4
        private val START_LIMIT = 60.seconds
        private val POLL = 50.milliseconds

        /** Shorter than the lifetime of directory answers, so that some callers come late. */
        private val NAMED_FOR = 2.seconds
        private val DOCUMENT = ServiceDocument(
            SERVICE,
            listOf(
                ClassSpec(ClassName("checks"), Rank.URGENT, Target(servedWithinMs = 500), listOf(MatchRule("GET"))),
                ClassSpec(
                    ClassName("orders"),
                    Rank.STANDARD,
                    Target(servedWithinMs = 2_000, keepShare = 0.3),
                    listOf(MatchRule("POST")),
                ),
                ClassSpec(ClassName("uploads"), Rank.STANDARD, Target(keepShare = 0.2), listOf(MatchRule("PUT"))),
            ),
            ClassName("checks"),
        )
    }
}
