package io.poplarwood.gateway.peer

import io.poplarwood.api.id.Zone
import io.poplarwood.gateway.directory.OwnEntry
import io.poplarwood.gateway.support.hello
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class ProbeAssignmentSpec {
    private fun duty(
        self: String,
        zone: String,
        serving: Boolean = true,
        vararg others: Pair<String, String>,
    ): ProbeAssignment {
        val peers = PeerTable(self)
        for ((name, peerZone) in others) peers.onHeartbeat(hello(name, peerZone), Duration.ZERO)
        val roles =
            ActiveEntries(self, PeerRecord(zone, "$self:80", "$self:1"), peers) { OwnEntry(serving, 60.seconds, 10) }
        // The entry becomes active before it knows the other entries of its zone.
        val sameZone = peers.all.filter { it.record.zone == zone }.onEach { it.silent = true }
        roles.refresh()
        sameZone.forEach { it.silent = false }
        roles.refresh()
        return ProbeAssignment(self, Zone(zone), peers, roles)
    }

    /** Guards against every entry probing each upstream. */
    @Test
    fun `for an upstream is assigned to one entry of its zone`() {
        assertEquals(true, duty("a1", "a", true, "a2" to "a", "b1" to "b").isAssigned(Zone("a")))
        assertEquals(false, duty("a2", "a", true, "a1" to "a", "b1" to "b").isAssigned(Zone("a")))
        assertEquals(false, duty("b1", "b", true, "a1" to "a", "a2" to "a").isAssigned(Zone("a")))
    }

    /** Guards against upstreams that no entry probes because their zone has lost its entries. */
    @Test
    fun `for an upstream whose zone has no entry is assigned to the first of all entries`() {
        assertEquals(true, duty("a1", "a", true, "b1" to "b").isAssigned(Zone("c")))
        assertEquals(false, duty("b1", "b", true, "a1" to "a").isAssigned(Zone("c")))
    }

    @Test
    fun `is not assigned to an entry that takes no requests`() =
        assertEquals(false, duty("a1", "a", serving = false).isAssigned(Zone("a")))
}
