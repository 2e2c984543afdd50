package io.poplarwood.bench.demo

import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.Zone
import io.poplarwood.entry.settings.EntrySettings
import io.poplarwood.entry.settings.HttpSettings
import io.poplarwood.entry.settings.OperatorListener
import io.poplarwood.entry.settings.PeerListener
import io.poplarwood.platform.http.PlatformSettings
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path

/** Settings of entries on free ports of loopback, with a secret and a token in [directory]. */
internal class DemoPlaces(private val directory: Path, count: Int) {
    val token = "demo-token"
    private val ports = freePorts(count * LISTENERS)
    private val secret = Files.writeString(directory.resolve("secret"), "demo-secret-of-one-run")
    private val tokens = Files.writeString(directory.resolve("tokens"), "demo $token\n")

    /** Settings of entry [index], of which the others are the seeds. */
    fun settings(index: Int, platform: String): EntrySettings {
        val (callers, operators, peers) = ports.subList(index * LISTENERS, (index + 1) * LISTENERS)
        return EntrySettings(
            entry = EntryId("demo-${index + 1}"),
            cell = "demo",
            zone = Zone("zone-${index + 1}"),
            callers = HttpSettings(
                host = HOST,
                port = callers,
                callerConnections = 8_192,
                callerThreads = 2,
                upstreamThreads = 2,
            ),
            callersAdvertised = "$HOST:$callers",
            operators = OperatorListener("$HOST:$operators", tokens.toString()),
            peers = PeerListener(
                address = "$HOST:$peers",
                secretFile = secret.toString(),
                seeds = ports.indices.filter { it % LISTENERS == 2 && ports[it] != peers }.map { "$HOST:${ports[it]}" },
            ),
            platform = PlatformSettings(platform),
            maxEntries = MAX_ENTRIES,
        )
    }

    private fun freePorts(count: Int): List<Int> {
        val sockets = List(count) { ServerSocket(0, 1, InetAddress.getByName(HOST)) }
        return sockets.map { it.localPort }.also { sockets.forEach(ServerSocket::close) }
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val LISTENERS = 3
        const val MAX_ENTRIES = 8
    }
}
