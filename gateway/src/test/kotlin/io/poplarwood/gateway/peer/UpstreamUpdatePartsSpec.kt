package io.poplarwood.gateway.peer

import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.store.RowSnapshot
import io.poplarwood.gateway.store.StateReplica
import io.poplarwood.gateway.store.StoredRow
import io.poplarwood.gateway.support.storeVersion
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds

class UpstreamUpdatePartsSpec {
    private val parts = UpstreamUpdateParts("a-1")
    private val upstreams = UpstreamTable()
    private val replica = StateReplica(SimulatedCodec, upstreams, { it() }, { 1.seconds }, EventLog(), {}, {})

    private fun removed(index: Int, version: Long) = StoredRow("i-%08x".format(index), null, storeVersion(version))

    private fun receive(update: PeerMessage.UpstreamUpdate) {
        val rows = update.rows.map { it.toStored() }
        replica.applyUpstreamChanges(RowSnapshot(rows, rows.maxOf { it.version }), update.after, update.from)
    }

    private fun PeerMessage.UpstreamUpdate.last() = rows.last().version

    /** Guards against an entry that takes the rows behind a lost part for all that changed, and never requests it. */
    @Test
    fun `let a receiver that missed one request what it lacks`() {
        val first = List(CHANGES) { StoredRow("i-%08x".format(it), "ready".encodeToByteArray(), storeVersion(1)) }
        replica.applyAllUpstreams(RowSnapshot(first, storeVersion(START)), "store")
        val rows = List(CHANGES) { removed(it, START + 1 + it) }
        val updates = parts.of(RowSnapshot(rows, storeVersion(START + CHANGES)), storeVersion(START)).orEmpty()
        assertEquals(3, updates.size, "${updates.map { it.rows.size }}")
        receive(updates[0])
        receive(updates[2])
        assertEquals(updates[0].last(), replica.coveredVersion)
        assertEquals(updates[0].last(), replica.upstreamVersion)
        assertEquals(updates[1].rows.size, upstreams.all.size)
        receive(updates[1])
        assertEquals(updates[1].last(), replica.coveredVersion)
        assertEquals(0, upstreams.all.size)
    }

    /** Guards against a receiver that has a part of a transaction and takes itself to be at its version. */
    @Test
    fun `keep the rows of one version together`() {
        val rows = List(CHANGES) { removed(it, START + 1 + it / TRANSACTION) }
        val updates = parts.of(RowSnapshot(rows, storeVersion(START + CHANGES)), storeVersion(START)).orEmpty()
        assertEquals(CHANGES, updates.sumOf { it.rows.size })
        for ((earlier, later) in updates.zipWithNext()) {
            assertEquals(earlier.last(), later.after)
            assertEquals(emptyList(), later.rows.filter { it.version <= later.after }.map { it.key })
        }
        val together = List(CHANGES) { removed(it, START + 1) }
        assertNull(parts.of(RowSnapshot(together, storeVersion(START + 1)), storeVersion(START)))
    }

    private companion object {
        const val CHANGES = 100
        const val TRANSACTION = 7
        const val START = 100L
    }
}
