package io.poplarwood.bench.demo

import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.Zone
import io.poplarwood.entry.settings.EntrySettings
import io.poplarwood.entry.settings.HttpSettings
import io.poplarwood.entry.settings.OperatorListener
import io.poplarwood.entry.settings.PeerListener
import io.poplarwood.platform.http.PlatformSettings
import java.nio.file.Files
import java.nio.file.Path

/** Settings of entries on loopback, each listener on any free port, with a secret and a token in [directory]. */
internal class DemoPlaces(directory: Path) {
    val token = "demo-token"
    private val secret = Files.writeString(directory.resolve("secret"), "demo-secret-of-one-run")
    val tokens: Path = Files.writeString(directory.resolve("tokens"), "demo $token\n")

    /** Settings of the entry that starts after those with the peer listeners [seeds]. */
    fun settings(platform: String, seeds: List<String>): EntrySettings {
        val number = seeds.size + 1
        return EntrySettings(
            entry = EntryId("demo-$number"),
            cell = "demo",
            zone = Zone("zone-$number"),
            callers = HttpSettings(
                host = HOST,
                port = 0,
                callerConnections = 8_192,
                callerThreads = 2,
                upstreamThreads = 2,
            ),
            callersAdvertised = ANY_PORT,
            operators = OperatorListener(ANY_PORT, tokens.toString()),
            peers = PeerListener(ANY_PORT, secret.toString(), seeds = seeds),
            platform = PlatformSettings(platform),
            maxEntries = MAX_ENTRIES,
        )
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val ANY_PORT = "$HOST:0"
        const val MAX_ENTRIES = 8
    }
}
