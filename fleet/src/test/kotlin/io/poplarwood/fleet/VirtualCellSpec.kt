package io.poplarwood.fleet

import io.poplarwood.fleet.config.ChangeResult
import io.poplarwood.fleet.virtual.VirtualCell
import io.poplarwood.fleet.virtual.VirtualEntry
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class VirtualCellSpec {
    private val events = ArrayList<Pair<VirtualEntry, FleetEvent>>()
    private val cell = VirtualCell(seed = 7, size = 8, onEvent = { e, event -> events += e to event })

    private fun results(id: String) = events.map { it.second }
        .filterIsInstance<FleetEvent.ChangeCompleted>().filter { it.changeId == id }.map { it.result }

    @Nested
    inner class `a cell that has started` {
        init {
            cell.run(10.seconds)
        }

        @Test
        fun `knows all members, agrees on a view and is fresh`() {
            // Guards against entries that wait for each other, or for documents that have not been written yet.
            cell.entries.forEach { e ->
                assertEquals(8, e.node.members.size, "${e.id}")
                assertEquals(8, e.node.view?.members?.size, "${e.id}")
                assertTrue(e.node.fresh, "${e.id}")
                assertTrue(e.node.members.all { it.ready }, "${e.id}")
            }
        }

        @Test
        fun `puts a change in force everywhere`() {
            // Guards against a push that does not reach all entries, and against a lost acknowledgement.
            cell.input(cell.entries[3]) { change(request("a")) }
            cell.run(2.seconds)
            assertIs<ChangeResult.Accepted>(results("a").single())
            cell.entries.forEach { assertEquals(1, it.node.documents.single().version) }
            assertEquals(1, events.map { it.second }.filterIsInstance<FleetEvent.InForceEverywhere>().size)
        }

        @Test
        fun `accepts the change of one of two operators and reports it to the other`() {
            // Guards against a lost update, and against a conflict that does not report the winning change.
            cell.input(cell.entries[0]) { change(request("a", within = 50)) }
            cell.input(cell.entries[5]) { change(request("b", within = 70)) }
            cell.run(3.seconds)
            val both = listOf(results("a").single(), results("b").single())
            assertEquals(1, both.count { it is ChangeResult.Accepted })
            val lost = both.filterIsInstance<ChangeResult.Conflict>().single()
            assertEquals(1, lost.winner?.version)
            assertEquals(listOf("$.classes[checks].target.servedWithinMs"), lost.differences.map { it.path })
        }
    }
}
