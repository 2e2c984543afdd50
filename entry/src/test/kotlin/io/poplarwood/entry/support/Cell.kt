package io.poplarwood.entry.support

import io.poplarwood.api.id.ClassName
import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.id.Zone
import io.poplarwood.api.platform.VmRecord
import io.poplarwood.api.platform.VmRole
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
import io.poplarwood.standins.platform.StandInPlatform
import io.poplarwood.standins.upstream.StandInUpstream
import io.poplarwood.standins.upstream.UpstreamOptions
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A test cluster on loopback: a stand-in platform, real entries and stand-in upstreams of one service. */
internal class Cell {
    val platform = StandInPlatform()
    val entries = mutableListOf<EntryNode>()
    val upstreams = mutableListOf<StandInUpstream>()
    private var version = 0L

    suspend fun upstream(options: UpstreamOptions = UpstreamOptions(SERVICE)): StandInUpstream {
        val made = StandInUpstream(options).start()
        upstreams += made
        platform.putVm(made.record(zone(upstreams.size)))
        return made
    }

    suspend fun entry(): EntryNode {
        val n = entries.size
        val settings = NodeSettings(
            EntryId("entry-$n"),
            "spec",
            zone(n),
            LOOPBACK,
            HttpSettings(host = LOOPBACK, port = 0),
            LOOPBACK,
            0,
            "secret".toByteArray(),
            seeds = entries.map { it.peerAddress },
        )
        val ports = Platform(platform.table, platform.objects, platform.vms)
        val made = EntryNode(settings, ports, SystemTicker, Clock.System, seed = n + 1L)
        made.start()
        entries += made
        platform.putVm(VmRecord(VmRole.ENTRY, made.peerAddress, "e$n", zone(n)))
        return made
    }

    suspend fun ready() = withTimeout(30.seconds) {
        while (entries.any { it.refusal != null }) delay(20.milliseconds)
    }

    suspend fun configure(document: ServiceDocument = DOCUMENT): ChangeResult {
        val result = entries.first().change(ChangeRequest("change-$version", "spec", document, version))
        if (result is ChangeResult.Accepted) version = result.version
        return result
    }

    suspend fun close() {
        entries.forEach { it.stop() }
        upstreams.forEach { it.stop() }
    }

    private fun zone(n: Int) = Zone("zone-${n % 3}")

    companion object {
        const val LOOPBACK = "127.0.0.1"
        val SERVICE = ServiceName("counter")
        val DOCUMENT = ServiceDocument(
            SERVICE,
            listOf(
                ClassSpec(ClassName("check"), Rank.URGENT, Target(servedWithinMs = 500), listOf(MatchRule("GET"))),
                ClassSpec(ClassName("order"), Rank.STANDARD, Target(keepShare = 0.2), listOf(MatchRule("POST"))),
            ),
            ClassName("order"),
        )
    }
}
