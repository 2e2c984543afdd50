package io.poplarwood.fleet.snapshot

import io.poplarwood.fleet.NodeContext
import io.poplarwood.fleet.config.ConfigCodec
import io.poplarwood.fleet.config.ConfigState
import io.poplarwood.fleet.config.DocumentInForce
import io.poplarwood.fleet.message.FleetMessage

/** Builds the snapshot pages that peers request. */
internal class SnapshotWriter(private val ctx: NodeContext, private val state: ConfigState) {
    /** The page with [number], from 0; null when there is no such page or this entry has no configuration yet. */
    fun page(number: Int): FleetMessage.Snapshot? {
        if (state.applied < 0) return null
        val pages = pages()
        val documents = pages.getOrNull(number) ?: return null
        val now = ctx.clock.now().toEpochMilliseconds()
        val snapshot = FleetSnapshot(FleetSnapshot.FORMAT, state.applied, now, documents, state.view)
        return FleetMessage.Snapshot(number, pages.size, SnapshotCodec.encode(snapshot))
    }

    private fun pages(): List<List<DocumentInForce>> {
        val pages = arrayListOf<MutableList<DocumentInForce>>(ArrayList())
        var bytes = 0
        state.all.sortedBy { it.document.service }.forEach { d ->
            val size = ConfigCodec.encodeDocument(d.document).size
            if (bytes + size > PAGE_BYTES && pages.last().isNotEmpty()) {
                pages += ArrayList<DocumentInForce>()
                bytes = 0
            }
            pages.last() += d
            bytes += size
        }
        return pages
    }

    private companion object {
        const val PAGE_BYTES = 96 * 1024
    }
}
