package io.poplarwood.gateway.http

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class IdleConnectionsSpec {
    private class TestConnection(override val idleSince: Duration) : PooledConnection {
        override var open = true
        override val keepAlive = 10.seconds

        override fun close() {
            open = false
        }
    }

    private val connections = IdleConnections<TestConnection>(capacity = 3)
    private val now = 100.seconds

    private fun idleFor(seconds: Int) = TestConnection(now - seconds.seconds)

    @Test
    fun `the most recently used connection is reused first`() {
        val older = idleFor(3).also(connections::add)
        val newer = idleFor(1).also(connections::add)
        assertEquals(listOf(newer, older), List(2) { connections.take(now, 9.seconds) })
    }

    /** Guards against closing a connection that the current request may not reuse but a later one may. */
    @Test
    fun `a connection idle for too long for one request stays for others`() {
        val older = idleFor(6).also(connections::add)
        assertNull(connections.take(now, 4.seconds))
        assertEquals(older, connections.take(now, 9.seconds))
    }

    /** Guards against sending a request on a connection that the upstream closes at the same time. */
    @Test
    fun `a connection that its peer is about to close is closed`() {
        val expiring = TestConnection(now - 9.5.seconds).also(connections::add)
        assertNull(connections.take(now, 60.seconds))
        assertEquals(false, expiring.open)
    }

    /** Guards against the same where the newest connection is passed over, as for a request that is sent again. */
    @Test
    fun `a connection that its peer is about to close is not taken in place of a newer one`() {
        TestConnection(now - 9.5.seconds).also(connections::add)
        val newest = idleFor(1).also(connections::add)
        assertNull(connections.take(now, 60.seconds) { it !== newest })
    }

    @Test
    fun `the oldest connection is closed when there are too many`() {
        val all = listOf(4, 3, 2, 1).map { idleFor(it).also(connections::add) }
        assertEquals(listOf(false, true, true, true), all.map { it.open })
    }
}
