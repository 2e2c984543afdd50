package io.poplarwood.cli

import io.poplarwood.bench.demo.EntryFactory
import io.poplarwood.bench.demo.RunningEntry
import io.poplarwood.entry.EntryDaemon
import kotlin.time.Duration

/** An entry of the demo. [stop] drains it first, so that requests in flight can complete. */
internal class DemoEntry(private val daemon: EntryDaemon) : RunningEntry {
    override val callersAddress: String get() = daemon.callersAddress
    override val operatorsAddress: String get() = daemon.operatorsAddress
    override val peersAddress: String get() = daemon.peersAddress

    override suspend fun stop() {
        daemon.drain()
    }

    companion object {
        /** Starts entries whose stop does not wait until callers have dropped their addresses. */
        val factory = EntryFactory { settings ->
            val daemon = EntryDaemon(settings, advertisementLifetime = Duration.ZERO)
            daemon.start()
            DemoEntry(daemon)
        }
    }
}
