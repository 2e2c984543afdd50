package io.poplarwood.gateway.peer

import io.poplarwood.gateway.store.RowSnapshot
import io.poplarwood.gateway.store.StoreVersion

/**
 * Divides changed registrations into updates of bounded size. Each begins after the version at which the one before
 * ends, so a receiver that missed one applies the others without taking them for all that changed, and requests the
 * rest. Rows of one version come from one transaction and stay together, since a part of them does not bring a
 * receiver to their version.
 */
internal class UpstreamUpdateParts(private val self: String) {
    /**
     * The updates for [rows], the first ones that changed after version [after]; null when they are better requested
     * by each receiver.
     */
    fun of(rows: RowSnapshot, after: StoreVersion): List<PeerMessage.UpstreamUpdate>? {
        val changed = rows.rows.map(ReplicatedRow::of).sortedBy { it.version }
        if (changed.sumOf { it.value?.size ?: 0 } > MAX_VALUE_BYTES) return null
        val room = DatagramSize.roomIn(self)
        val transactions = changed.groupBy { it.version }.values.toList()
        if (transactions.any { sizeOf(it) > room }) return null
        val parts = DatagramSize.split(transactions, room, ::sizeOf)
        if (parts.size > MAX_PARTS) return null
        var reached = after
        return parts.map { part ->
            PeerMessage.UpstreamUpdate(self, reached, part.flatten()).also { reached = part.last().last().version }
        }
    }

    private fun sizeOf(transaction: List<ReplicatedRow>) = transaction.sumOf(DatagramSize::of)

    private companion object {
        /**
         * Registrations with more bytes are requested by each receiver in compressed pages, as its sender's link
         * bears it.
         */
        const val MAX_VALUE_BYTES = 1_000

        /** Datagrams of one change to each entry; about 100 removals fit. */
        const val MAX_PARTS = 4
    }
}
