package io.poplarwood.gateway.directory

import io.poplarwood.gateway.peer.PeerMessage
import io.poplarwood.gateway.peer.PeerTable
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class DirectorySpec {
    private val peers = PeerTable("e0")
    private val directory = Directory("e0", "z1", "10.0.0.0:80", peers, 5.seconds)
    private val warm = OwnEntry(serving = true, up = 60.seconds, requestsPerS = 10)

    private fun peer(
        name: String,
        zone: String = "z1",
        serving: Boolean = true,
        stopping: Boolean = false,
        rate: Int = 10,
    ) = peers.heard(
        PeerMessage.Hello(
            from = name,
            zone = zone,
            callers = "$name:80",
            peers = "$name:1",
            serving = serving,
            stopping = stopping,
            storeAnswers = true,
            stateVersion = 1,
            upstreamVersion = 1,
            coveredVersion = 1,
            confirmedMs = 0,
            upMs = 60_000,
            requestsPerS = rate,
            load = emptyList(),
        ),
        Duration.ZERO,
    )

    /** Guards against callers that are sent to an entry that stops. */
    @Test
    fun `names no entry that is stopping or not serving`() {
        peer("e1", stopping = true)
        peer("e2", serving = false)
        peer("e3")
        assertEquals(setOf("10.0.0.0:80", "e3:80"), directory.entriesFor("z1", warm).toSet())
    }

    @Test
    fun `names few entries while they carry the load, and more when they do not`() {
        for (i in 1..5) peer("e$i")
        assertEquals(2, directory.entriesFor("z1", warm).size)
        for (i in 1..5) peer("e$i", rate = 80)
        assertEquals(5, directory.entriesFor("z1", warm).size)
    }

    /** Guards against callers of a zone whose only entry is lost. */
    @Test
    fun `adds other zones where a zone has a single entry`() {
        peer("e1", zone = "z2")
        assertEquals(setOf("10.0.0.0:80", "e1:80"), directory.entriesFor("z1", warm).toSet())
    }

    /** Guards against callers that meet an entry whose code is not compiled yet while warm ones are there. */
    @Test
    fun `prefers entries that have run for a while`() {
        peer("e1")
        peer("e2")
        val fresh = OwnEntry(serving = true, up = 1.seconds, requestsPerS = 0)
        assertTrue("10.0.0.0:80" !in directory.entriesFor("z1", fresh))
    }
}
