package io.poplarwood.gateway.http

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class IdleConnectionsSpec {
    private class Link(override val idleSince: Duration) : PooledConnection {
        override var open = true
        override val keepAlive = 10.seconds

        override fun abandon() {
            open = false
        }
    }

    private val links = IdleConnections<Link>(most = 3)
    private val now = 100.seconds

    private fun idleFor(seconds: Int) = Link(now - seconds.seconds)

    @Test
    fun `the connection used last is used first`() {
        val old = idleFor(3).also(links::add)
        val fresh = idleFor(1).also(links::add)
        assertEquals(listOf(fresh, old), List(2) { links.take(now, 9.seconds) })
    }

    /** Guards against connections that are ended for a request that may not use them, and opened anew for the next. */
    @Test
    fun `one that is too old for a request stays for others`() {
        val old = idleFor(6).also(links::add)
        assertNull(links.take(now, 4.seconds))
        assertEquals(old, links.take(now, 9.seconds))
    }

    /** Guards against a request on a connection that the upstream closes at the same moment. */
    @Test
    fun `one that the other end is about to close is ended`() {
        val expiring = Link(now - 9.5.seconds).also(links::add)
        assertNull(links.take(now, 60.seconds))
        assertEquals(false, expiring.open)
    }

    @Test
    fun `the oldest is ended when there are too many`() {
        val all = listOf(4, 3, 2, 1).map { idleFor(it).also(links::add) }
        assertEquals(listOf(false, true, true, true), all.map { it.open })
    }
}
