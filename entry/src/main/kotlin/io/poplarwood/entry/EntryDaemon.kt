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
 * One entry process: the node, the operators' listener and the platform clients.
 *
 * @param advertisementLifetime time from the start of a planned stop during which callers may still hold this
 *   entry's address; null uses the default of [NodeSettings]
 */
class EntryDaemon(settings: EntrySettings, advertisementLifetime: Duration? = null) {
    private val platform = HttpPlatform(settings.platform)
    private val node = EntryNode(
        nodeSettings(settings, advertisementLifetime),
        Platform(platform.table, platform.objects, platform.vms),
        SystemTicker,
        Clock.System,
        SecureRandom().nextLong(),
    )
    private val operatorServer = OperatorServer(settings.operators, node.operatorBackend)
    private val operatorHost = settings.operators.address.substringBeforeLast(':')

    /** `ip:port` of the callers' listener. */
    val callersAddress: String get() = node.callersAddress

    /** `ip:port` of the operators' listener. */
    val operatorsAddress: String get() = "$operatorHost:${operatorServer.port}"

    /** `ip:port` of the listener for other entries. */
    val peersAddress: String get() = node.peerAddress

    /** Opens the listeners and joins the cell. */
    suspend fun start() {
        operatorServer.start()
        node.start()
    }

    /** Ends service without interrupting requests, then closes; true when no request was cut off. */
    suspend fun drain(): Boolean {
        val completed = node.drain()
        close()
        return completed
    }

    /** Stops at once and closes all connections. */
    suspend fun stop() {
        node.stop()
        close()
    }

    private suspend fun close() {
        operatorServer.stop()
        platform.close()
    }

    private fun nodeSettings(settings: EntrySettings, advertisementLifetime: Duration?): NodeSettings {
        val peerListenAddress = settings.peers.address
        val base = NodeSettings(
            id = settings.entry,
            cell = settings.cell,
            zone = settings.zone,
            address = settings.callersAdvertised.substringBeforeLast(':'),
            http = settings.callers,
            peerHost = peerListenAddress.substringBeforeLast(':'),
            peerPort = peerListenAddress.substringAfterLast(':').toInt(),
            secret = Files.readAllBytes(Path.of(settings.peers.secretFile)),
            seeds = settings.peers.seeds,
            budget = StoreBudget(maxEntries = settings.maxEntries),
            drainTimeout = settings.drainBoundMs.milliseconds,
        )
        return if (advertisementLifetime == null) base else base.copy(advertisementLifetime = advertisementLifetime)
    }
}
