package io.poplarwood.fleet

import io.poplarwood.fleet.virtual.VirtualCell
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class OutageSpec {
    @Nested
    inner class `a store that is down for five minutes` {
        @Test
        fun `does not stop the service at 16 and 64 entries`() {
            // Guards against quorum rounds that are late or reach too few entries, which would then refuse requests.
            for (size in listOf(16, 64)) {
                val cell = VirtualCell(seed = 3, size = size)
                cell.run(12.seconds)
                cell.store.down = true
                var stale = 0
                repeat(5 * 60 * 5) {
                    cell.run(200.milliseconds)
                    stale += cell.entries.count { !it.node.fresh }
                }
                assertEquals(0, stale, "samples that were not fresh, of ${size * 1500}")
            }
        }
    }

    @Nested
    inner class `an entry without peers and store` {
        private val cell = VirtualCell(seed = 4, size = 5)

        init {
            cell.run(12.seconds)
        }

        @Test
        fun `accepts no new requests after 3 s`() {
            // Guards against an entry that continues with a configuration that other entries have replaced.
            val cut = cell.entries[2]
            cut.partitioned = true
            cut.storeUnreachable = true
            cell.run(3_100.milliseconds)
            assertTrue(!cut.node.fresh)
            cell.run(1.minutes)
            assertTrue(!cut.node.fresh)
            assertTrue(cell.entries.filter { it != cut }.all { it.node.fresh })
        }

        @Test
        fun `is not counted by a minority as a majority`() {
            // Guards against a network partition whose sides both confirm the configuration known to them.
            cell.store.down = true
            cell.entries.take(3).forEach { it.partitioned = true }
            cell.run(4.seconds)
            assertTrue(cell.entries.none { it.node.fresh }, "neither side has three of five")
        }

        @Test
        fun `is replaced in the view after it has been gone for 30 s`() {
            // Guards against a view that cannot confirm anything because too many of its members are lost.
            cell.kill(cell.entries[0])
            cell.run(10.seconds)
            assertEquals(5, cell.entries[1].node.view?.members?.size)
            cell.run(35.seconds)
            assertEquals(4, cell.entries[1].node.view?.members?.size)
        }
    }

    @Nested
    inner class `an entry cut off from its peers but not from the store` {
        @Test
        fun `accepts no requests without a change that was reported in force everywhere`() {
            // Changes no longer wait for an entry that was removed from the view. Guards against such an entry that
            // still accepts requests.
            var reported = 0L
            val cell = VirtualCell(seed = 6, size = 7, onEvent = { _, e ->
                if (e is FleetEvent.InForceEverywhere) reported = maxOf(reported, e.sequence)
            })
            var wrong = 0
            cell.afterInput = { if (it.takesWork && it.node.applied < reported) wrong++ }
            cell.run(15.seconds)
            cell.entries[6].partitioned = true
            repeat(100) { i ->
                cell.input(cell.entries[i % 6]) { change(request("c$i", expected = i.toLong())) }
                cell.run(800.milliseconds)
            }
            assertTrue(reported > 90, "only $reported were reported")
            assertEquals(0, wrong)
        }
    }

    @Nested
    inner class `an entry that was paused` {
        @Test
        fun `confirms its configuration before it accepts requests again`() {
            // Guards against requests handled with a configuration that was replaced during the pause.
            val cell = VirtualCell(seed = 5, size = 5)
            cell.run(12.seconds)
            val paused = cell.entries[1]
            cell.pause(paused, 10.seconds)
            cell.run(1.seconds)
            cell.input(cell.entries[2]) { change(request("a")) }
            var wrong = 0
            cell.afterInput = { if (it == paused && it.node.fresh && it.node.applied < 1) wrong++ }
            cell.run(15.seconds)
            assertEquals(0, wrong)
            assertTrue(paused.node.fresh)
        }
    }
}
