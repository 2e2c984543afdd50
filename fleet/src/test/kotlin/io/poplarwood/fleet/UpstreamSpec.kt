package io.poplarwood.fleet

import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.id.Zone
import io.poplarwood.api.platform.VmRecord
import io.poplarwood.api.platform.VmRole
import io.poplarwood.fleet.upstream.FleetUpstreamState
import io.poplarwood.fleet.virtual.VirtualCell
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class UpstreamSpec {
    private val service = ServiceName("counter")
    private val cell = VirtualCell(seed = 31, size = 16)

    private fun vm(number: Int, incarnation: String = "i1") =
        VmRecord(VmRole.UPSTREAM, "10.1.0.$number:80", incarnation, Zone("z0"), service = service, slots = 3)

    private fun states(number: Int) = cell.entries.map { e ->
        e.node.upstreams(service).firstOrNull { it.id.address == "10.1.0.$number:80" }?.state
    }

    @Nested
    inner class `upstreams that the platform lists` {
        init {
            cell.store.vms = List(8) { vm(it) }
            cell.run(15.seconds)
        }

        @Test
        fun `are draining everywhere within 3 s of their own announcement, while the platform is down`() {
            // Guards invariant 5: no entry sends requests to an upstream that has announced that it is draining.
            cell.store.down = true
            cell.run(5.seconds)
            cell.input(cell.entries[2]) { draining(UpstreamId("10.1.0.4:80", "i1"), service) }
            cell.run(3.seconds)
            assertTrue(states(4).all { it == FleetUpstreamState.LEAVING })
            cell.store.down = false
            cell.run(15.seconds)
            assertTrue(states(4).all { it == FleetUpstreamState.LEAVING }, "the lagging list does not revive it")
        }

        @Test
        fun `are live when their address is listed with another incarnation`() {
            // Guards against a new VM that gets no requests because its predecessor at the address was draining.
            cell.input(cell.entries[2]) { draining(UpstreamId("10.1.0.4:80", "i1"), service) }
            cell.run(2.seconds)
            cell.store.vms = List(8) { if (it == 4) vm(4, "i2") else vm(it) }
            cell.run(15.seconds)
            assertTrue(states(4).all { it == FleetUpstreamState.LIVE })
            assertTrue(cell.entries.all { it.node.upstreams(service).size == 8 })
        }

        @Test
        fun `are kept when a VM list lacks most of them`() {
            // Guards against a faulty list that would leave a service without upstreams.
            cell.store.vms = listOf(vm(0))
            cell.run(40.seconds)
            assertTrue(cell.entries.all { it.node.upstreams(service).size == 8 })
            assertTrue(cell.entries.all { it.node.counters.ignoredVmLists > 0 })
        }
    }

    @Nested
    inner class `the directory` {
        @Test
        fun `names three entries, the caller's zone first, and distributes callers evenly`() {
            // Guards against callers that all use one entry, and against replies without an entry of another zone.
            cell.run(15.seconds)
            val counts = HashMap<String, Int>()
            repeat(900) { i ->
                val reply = cell.entries[i % 16].node.entriesFor(service, Zone("z1"), "192.0.2.$i")
                assertEquals(3, reply.entries.distinct().size)
                assertEquals(listOf(true, true, false), reply.entries.map { it.zone == Zone("z1") })
                assertTrue(reply.lifetime in 24.seconds..36.seconds)
                counts.merge(reply.entries.first().keyPrefix, 1, Int::plus)
            }
            assertEquals(2, counts.size, "an idle service uses two entries of a zone")
            assertTrue(counts.values.max() <= 1.3 * counts.values.average(), "$counts")
        }
    }
}
