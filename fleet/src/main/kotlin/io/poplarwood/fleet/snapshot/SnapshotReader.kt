package io.poplarwood.fleet.snapshot

import com.github.michaelbull.result.fold
import io.poplarwood.fleet.NodeContext
import io.poplarwood.fleet.config.ConfigState
import io.poplarwood.fleet.message.FleetMessage

/** Collects the pages of a snapshot. Refuses pages of different sequences, as documents may move between pages. */
internal class SnapshotReader(
    private val ctx: NodeContext,
    private val state: ConfigState,
    private val head: () -> Long,
) {
    private val pages = ArrayList<FleetSnapshot>()

    /** Number of pages that were refused. */
    var refused = 0
        private set

    fun restart() = pages.clear()

    /** Handles a page. Returns the number of the page to request next; null when complete or refused. */
    fun onPage(message: FleetMessage.Snapshot): Int? {
        if (message.page != pages.size) return refuse()
        return SnapshotCodec.decode(message.bytes, ctx.clock.now().toEpochMilliseconds(), head()).fold(
            success = { accept(it, message) },
            failure = { refuse() },
        )
    }

    private fun accept(page: FleetSnapshot, message: FleetMessage.Snapshot): Int? {
        if (pages.isNotEmpty() && pages.first().sequence != page.sequence) return refuse()
        pages += page
        if (pages.size < message.pages) return pages.size
        state.install(page.sequence, pages.flatMap { it.documents }, page.view)
        pages.clear()
        return null
    }

    private fun refuse(): Int? {
        refused++
        pages.clear()
        return null
    }
}
