package io.poplarwood.gateway.http

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Idle connections to one upstream, at most [capacity]; the most recently used one is reused first. */
internal class IdleConnections<C : PooledConnection>(private val capacity: Int) {
    private val connections = ArrayDeque<C>()

    /**
     * Removes and returns a connection that has been idle for at most [maxIdle] and that its peer is not about to
     * close; null if there is none.
     */
    fun take(now: Duration, maxIdle: Duration): C? {
        while (true) {
            val newest = connections.lastOrNull() ?: return null
            if (newest.open && !isExpiring(newest, now)) {
                // The other connections have been idle even longer; they stay for requests with a larger maxIdle.
                return if (now - newest.idleSince <= maxIdle) connections.removeLast() else null
            }
            connections.removeLast().close()
        }
    }

    /** Adds [connection], which has just become idle; closes the oldest one if there are too many. */
    fun add(connection: C) {
        connections.addLast(connection)
        if (connections.size > capacity) connections.removeFirst().close()
    }

    /** Removes [connection], which has been closed. */
    fun remove(connection: C) {
        connections.remove(connection)
    }

    /** Closes connections whose peer is about to close them. */
    fun closeExpired(now: Duration) {
        while (connections.firstOrNull()?.let { isExpiring(it, now) } ?: return) connections.removeFirst().close()
    }

    /** Closes all connections. */
    fun closeAll() {
        val all = connections.toList()
        connections.clear()
        all.forEach { it.close() }
    }

    private fun isExpiring(connection: C, now: Duration) =
        now - connection.idleSince > connection.keepAlive - KEEP_ALIVE_MARGIN

    private companion object {
        /** Margin before the end of the peer's keep-alive time, so that no request is sent while the peer closes. */
        val KEEP_ALIVE_MARGIN = 1.seconds
    }
}
