package io.poplarwood.gateway.http

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Idle connections to one upstream, at most [capacity]; the most recently used one is reused first. */
internal class IdleConnections<C : PooledConnection>(private val capacity: Int) {
    private val connections = ArrayDeque<C>()

    /**
     * Removes and returns the most recently used connection that is [acceptable], if it has been idle for at most
     * [maxIdle]; null if there is none. Connections that their peer is about to close are closed.
     */
    fun take(now: Duration, maxIdle: Duration, acceptable: (C) -> Boolean = { true }): C? {
        closeUnusable(now)
        // The other connections have been idle even longer; they stay for requests with a larger maxIdle.
        val newest = connections.lastOrNull { it.open && !isExpiring(it, now) && acceptable(it) }
            ?.takeIf { now - it.idleSince <= maxIdle } ?: return null
        connections.remove(newest)
        return newest
    }

    private fun closeUnusable(now: Duration) {
        while (true) {
            val newest = connections.lastOrNull() ?: return
            if (newest.open && !isExpiring(newest, now)) return
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
