package io.poplarwood.bench.config

import io.poplarwood.fleet.virtual.VirtualCell
import kotlin.time.Duration.Companion.seconds

/** A cell of [size] entries without changes: what membership and freshness cost. */
internal class Idle(seed: Long, size: Int) {
    private val cell = VirtualCell(seed, size, countBytes = true)

    /** Bytes that one entry sends a second, frame headers excluded. */
    var bytesPerSecond = 0.0
        private set

    /** Messages that one entry sends a second. */
    var messagesPerSecond = 0.0
        private set

    /** Reads that the store gets a second from all entries. */
    var readsPerSecond = 0.0
        private set

    fun run(): Idle {
        // Long enough for the news of the start to have been sent as often as it ever is.
        cell.run(90.seconds)
        val from = cell.timeline.now()
        val bytes = cell.entries.sumOf { it.bytesSent }
        val messages = cell.entries.sumOf { it.messagesSent }
        cell.run(WATCH)
        val perEntry = WATCH.inWholeSeconds * cell.entries.size.toDouble()
        bytesPerSecond = (cell.entries.sumOf { it.bytesSent } - bytes) / perEntry
        messagesPerSecond = (cell.entries.sumOf { it.messagesSent } - messages) / perEntry
        readsPerSecond = cell.store.load.totalReads(from, cell.timeline.now()) / WATCH.inWholeSeconds.toDouble()
        return this
    }

    private companion object {
        val WATCH = 60.seconds
    }
}
