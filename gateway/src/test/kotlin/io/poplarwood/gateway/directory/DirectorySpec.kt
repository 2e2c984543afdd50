package io.poplarwood.gateway.directory

import io.poplarwood.gateway.peer.ActiveEntries
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
    private var own = OwnEntry(serving = true, uptime = 60.seconds, requestsPerS = 10)
    private val activeSet = ActiveEntries("e0", PeerRecord("z1", "10.0.0.0:80", "e0:1"), peers) { own }
    private val directory = Directory("z1", peers::zones, activeSet, 5.seconds)

    init {
        activeSet.refresh()
    }

    private fun addPeer(hello: PeerMessage.Hello) = peers.onHeartbeat(hello, Duration.ZERO)

    /** Guards against directing callers to an entry that is stopping. */
    @Test
    fun `omits entries that are stopping or not serving`() {
        addPeer(hello("e1", stopping = true))
        addPeer(hello("e2", serving = false))
        addPeer(hello("e3"))
        assertEquals(setOf("10.0.0.0:80", "e3:80"), directory.entriesFor("z1").toSet())
    }

    @Test
    fun `lists few entries while they carry the load, and more when they do not`() {
        for (i in 1..5) addPeer(hello("e$i"))
        assertEquals(2, directory.entriesFor("z1").size)
        for (i in 1..5) addPeer(hello("e$i", rate = 80))
        assertEquals(6, directory.entriesFor("z1").size)
    }

    /** Guards against leaving the callers of a zone without an entry when the only entry of the zone is lost. */
    @Test
    fun `adds other zones when a zone has a single entry`() {
        addPeer(hello("e1", zone = "z2"))
        assertEquals(setOf("10.0.0.0:80", "e1:80"), directory.entriesFor("z1").toSet())
    }

    /** Guards against directing callers to an entry whose code is not yet JIT-compiled while warm entries exist. */
    @Test
    fun `prefers entries that have been running for a while`() {
        addPeer(hello("e1"))
        addPeer(hello("e2"))
        own = OwnEntry(serving = true, uptime = 1.seconds, requestsPerS = 0)
        assertTrue("10.0.0.0:80" !in directory.entriesFor("z1"))
    }

    /** Guards against a small VM that carries the load of a zone while a large one is idle. */
    @Test
    fun `prefers entries whose VM has a higher capacity`() {
        addPeer(hello("e8", capacity = 250))
        addPeer(hello("e9", capacity = 250))
        assertEquals(listOf("e8:80", "e9:80"), directory.entriesFor("z1"))
    }

    /** Guards against an entry that knows few others and lists only those. */
    @Test
    fun `lists the entries that the zone's leader announced when this entry takes no callers`() {
        peers.addStored("e7", PeerRecord("z1", "e7:80", "e7:1"), Duration.ZERO)
        addPeer(hello("e8", capacity = 250, zoneActive = listOf("e8", "e9", "e7")))
        addPeer(hello("e9", capacity = 250, zoneActive = listOf("e8", "e9", "e7")))
        directory.entriesFor("z1")
        assertEquals(listOf("e8:80", "e9:80", "e7:80"), directory.entriesFor("z1"))
    }
}
