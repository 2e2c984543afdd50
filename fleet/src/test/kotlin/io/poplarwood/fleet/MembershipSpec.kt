package io.poplarwood.fleet

import io.poplarwood.api.random.SplitMix
import io.poplarwood.fleet.membership.MemberState
import io.poplarwood.fleet.virtual.VirtualCell
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class MembershipSpec {
    @Nested
    inner class `an hour of lost messages and short pauses` {
        @Test
        fun `does not make any member gone`() {
            // Guards against false positives: a run that is declared gone loses its keys and leases.
            var renamed = 0
            val cell = VirtualCell(seed = 11, size = 16, onEvent = { _, e -> if (e is FleetEvent.Renamed) renamed++ })
            val random = SplitMix(12)
            cell.loss = 0.05
            val end = 1.hours
            while (cell.timeline.now() < end) {
                cell.run(2.seconds)
                cell.pause(cell.entries[random.nextInt(16)], (100 + random.nextInt(401)).milliseconds)
            }
            cell.run(1.seconds)
            assertEquals(0, renamed)
            assertTrue(cell.entries.all { it.node.members.size == 16 })
        }
    }

    @Nested
    inner class `a cell of nine` {
        private val cell = VirtualCell(seed = 13, size = 9)
        private val survivors = cell.entries.drop(1)

        init {
            cell.run(10.seconds)
        }

        @Test
        fun `declares a killed entry gone after the timeout for suspects`() {
            // Guards against leases and directory replies that refer to a dead entry for long.
            cell.kill(cell.entries[0])
            cell.run(15.seconds)
            assertTrue(survivors.all { it.node.members.size == 8 })
        }

        @Test
        fun `knows a restarted entry only under its new incarnation, despite old updates in transit`() {
            // Guards against a run that becomes live again after its keys and leases have expired.
            val old = cell.entries[0].node.self
            cell.restart(cell.entries[0])
            cell.run(15.seconds)
            survivors.forEach { e ->
                assertEquals(9, e.node.members.size)
                assertTrue(e.node.members.none { it.ref == old })
            }
        }

        @Test
        fun `does not mark an entry that is leaving as ready`() {
            // Guards against directory replies that send callers to an entry that is shutting down.
            val leaving = cell.entries[4]
            cell.input(leaving) { leave() }
            cell.run(2.seconds)
            cell.entries.forEach { e ->
                val row = e.node.members.single { it.ref == leaving.node.self }
                assertEquals(MemberState.LEAVING, row.state)
                assertTrue(!row.ready)
            }
        }

        @Test
        fun `lets an entry that is leaving accept requests until it ends`() {
            // Guards against requests refused as not-fresh by an entry whose address callers still hold.
            val leaving = cell.entries[4]
            cell.input(leaving) { leave() }
            repeat(80) {
                cell.run(100.milliseconds)
                assertTrue(leaving.takesWork, "at ${cell.timeline.now()}")
            }
        }

        @Test
        fun `readmits a zone that was cut off, without new incarnations of the other entries`() {
            // Guards against the cut-off side declaring the other entries gone, which is final.
            val cut = cell.entries.filter { it.zone == cell.entries[0].zone }
            val rest = cell.entries - cut.toSet()
            val names = rest.map { it.node.self }
            cut.forEach { it.partitioned = true }
            cell.run(40.seconds)
            cut.forEach { it.partitioned = false }
            cell.run(20.seconds)
            assertEquals(names, rest.map { it.node.self })
            assertTrue(cell.entries.all { it.node.members.size == 9 })
        }
    }
}
