package io.poplarwood.entry

import io.poplarwood.entry.node.EntryNode
import io.poplarwood.entry.node.NodeSettings
import io.poplarwood.entry.node.Platform
import io.poplarwood.entry.node.SystemTicker
import io.poplarwood.entry.operator.OperatorServer
import io.poplarwood.entry.settings.EntrySettings
import io.poplarwood.fleet.recovery.StoreBudget
import io.poplarwood.platform.http.HttpPlatform
import java.nio.file.Files
import java.nio.file.Path
import java.security.SecureRandom
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * One entry process: its node, its operators' listener and its clients of the platform.
 *
 * @param namedFor time for which callers may still hold this entry's address after a planned stop began
 */
class EntryDaemon(settings: EntrySettings, namedFor: Duration? = null) {
    private val platform = HttpPlatform(settings.platform)
    private val node = EntryNode(
        nodeSettings(settings, namedFor),
        Platform(platform.table, platform.objects, platform.vms),
        SystemTicker,
        Clock.System,
        SecureRandom().nextLong(),
    )
    private val operators = OperatorServer(settings.operators, node.operators)
    private val operatorsHost = settings.operators.address.substringBeforeLast(':')

    /** `ip:port` for callers. */
    val callersAddress: String get() = node.callersAddress

    /** `ip:port` for operators. */
    val operatorsAddress: String get() = "$operatorsHost:${operators.port}"

    /** `ip:port` for other entries. */
    val peersAddress: String get() = node.peerAddress

    /** Opens the listeners and joins the cell. */
    suspend fun start() {
        operators.start()
        node.start()
    }

    /** Ends service without interrupting a request; true when none was cut. */
    suspend fun drain(): Boolean {
        val clean = node.drain()
        close()
        return clean
    }

    /** Stops at once. */
    suspend fun stop() {
        node.stop()
        close()
    }

    private suspend fun close() {
        operators.stop()
        platform.close()
    }

    private fun nodeSettings(s: EntrySettings, namedFor: Duration?): NodeSettings {
        val peers = s.peers.address
        val plain = NodeSettings(
            id = s.entry,
            cell = s.cell,
            zone = s.zone,
            address = s.callersAdvertised.substringBeforeLast(':'),
            http = s.callers,
            peerHost = peers.substringBeforeLast(':'),
            peerPort = peers.substringAfterLast(':').toInt(),
            secret = Files.readAllBytes(Path.of(s.peers.secretFile)),
            seeds = s.peers.seeds,
            budget = StoreBudget(maxEntries = s.maxEntries),
            drainLimit = s.drainBoundMs.milliseconds,
        )
        return if (namedFor == null) plain else plain.copy(namedFor = namedFor)
    }
}
