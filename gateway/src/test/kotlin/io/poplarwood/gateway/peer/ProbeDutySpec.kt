package io.poplarwood.gateway.peer

import io.poplarwood.api.id.Zone
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration

class ProbeDutySpec {
    private fun duty(
        self: String,
        zone: String,
        serves: Boolean = true,
        vararg others: Pair<String, String>,
    ): ProbeDuty {
        val peers = PeerTable(self)
        for ((name, at) in others) peers.heard(hello(name, at), Duration.ZERO)
        return ProbeDuty(self, Zone(zone), peers) { serves }
    }

    private fun hello(name: String, zone: String) = PeerMessage.Hello(
        from = name,
        zone = zone,
        callers = "$name:80",
        peers = "$name:1",
        serving = true,
        stopping = false,
        storeAnswers = true,
        stateVersion = 1,
        upstreamVersion = 1,
        coveredVersion = 1,
        confirmedMs = 0,
        upMs = 60_000,
        requestsPerS = 10,
        load = emptyList(),
    )

    /** Guards against upstreams that every entry asks. */
    @Test
    fun `of an upstream falls to one entry of its zone`() {
        assertEquals(true, duty("a1", "a", true, "a2" to "a", "b1" to "b").isFor(Zone("a")))
        assertEquals(false, duty("a2", "a", true, "a1" to "a", "b1" to "b").isFor(Zone("a")))
        assertEquals(false, duty("b1", "b", true, "a1" to "a", "a2" to "a").isFor(Zone("a")))
    }

    /** Guards against upstreams that no entry asks because their zone has lost its entries. */
    @Test
    fun `of an upstream whose zone has no entry falls to the first of all`() {
        assertEquals(true, duty("a1", "a", true, "b1" to "b").isFor(Zone("c")))
        assertEquals(false, duty("b1", "b", true, "a1" to "a").isFor(Zone("c")))
    }

    @Test
    fun `is none of an entry that takes no requests`() =
        assertEquals(false, duty("a1", "a", serves = false).isFor(Zone("a")))
}
