package io.poplarwood.gateway.directory

import io.poplarwood.gateway.peer.ActiveSet
import io.poplarwood.gateway.peer.PeerMessage
import io.poplarwood.gateway.peer.PeerRecord
import io.poplarwood.gateway.peer.PeerTable
import io.poplarwood.gateway.support.hello
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class DirectorySpec {
    private val peers = PeerTable("e0")
    private var own = OwnEntry(serving = true, up = 60.seconds, requestsPerS = 10)
    private val activeSet = ActiveSet("e0", PeerRecord("z1", "10.0.0.0:80", "e0:1"), peers) { own }
    private val directory = Directory("z1", peers::zones, activeSet, 5.seconds)

    init {
        activeSet.refresh()
    }

    private fun peer(hello: PeerMessage.Hello) = peers.heard(hello, Duration.ZERO)

    /** Guards against callers that are sent to an entry that stops. */
    @Test
    fun `names no entry that is stopping or not serving`() {
        peer(hello("e1", stopping = true))
        peer(hello("e2", serving = false))
        peer(hello("e3"))
        assertEquals(setOf("10.0.0.0:80", "e3:80"), directory.entriesFor("z1").toSet())
    }

    @Test
    fun `names few entries while they carry the load, and more when they do not`() {
        for (i in 1..5) peer(hello("e$i"))
        assertEquals(2, directory.entriesFor("z1").size)
        for (i in 1..5) peer(hello("e$i", rate = 80))
        assertEquals(6, directory.entriesFor("z1").size)
    }

    /** Guards against callers of a zone whose only entry is lost. */
    @Test
    fun `adds other zones where a zone has a single entry`() {
        peer(hello("e1", zone = "z2"))
        assertEquals(setOf("10.0.0.0:80", "e1:80"), directory.entriesFor("z1").toSet())
    }

    /** Guards against callers that meet an entry whose code is not compiled yet while warm ones are there. */
    @Test
    fun `prefers entries that have run for a while`() {
        peer(hello("e1"))
        peer(hello("e2"))
        own = OwnEntry(serving = true, up = 1.seconds, requestsPerS = 0)
        assertTrue("10.0.0.0:80" !in directory.entriesFor("z1"))
    }

    /** Guards against a small VM that carries a zone while a large one idles. */
    @Test
    fun `prefers entries whose VM carries more`() {
        peer(hello("e8", capacity = 250))
        peer(hello("e9", capacity = 250))
        assertEquals(listOf("e8:80", "e9:80"), directory.entriesFor("z1"))
    }

    /** Guards against entries that hear few others and name whom they know. */
    @Test
    fun `names those that the zone's lead told where this entry takes no callers`() {
        peers.know("e7", PeerRecord("z1", "e7:80", "e7:1"), Duration.ZERO)
        peer(hello("e8", capacity = 250, zoneActive = listOf("e8", "e9", "e7")))
        peer(hello("e9", capacity = 250, zoneActive = listOf("e8", "e9", "e7")))
        directory.entriesFor("z1")
        assertEquals(listOf("e8:80", "e9:80", "e7:80"), directory.entriesFor("z1"))
    }
}
