package io.poplarwood.gateway.http

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Idle connections to one upstream, at most [most]; the one that was used last is used first. */
internal class IdleConnections<L : PooledConnection>(private val most: Int) {
    private val links = ArrayDeque<L>()

    /** A connection that was idle for [maxIdle] at most and that the other end will not close at this moment. */
    fun take(now: Duration, maxIdle: Duration): L? {
        while (true) {
            val newest = links.lastOrNull() ?: return null
            if (newest.open && !expired(newest, now)) {
                // The others have been idle for longer still; they stay for requests that may use them.
                return if (now - newest.idleSince <= maxIdle) links.removeLast() else null
            }
            links.removeLast().abandon()
        }
    }

    /** Keeps [link], which has just become idle. */
    fun add(link: L) {
        links.addLast(link)
        if (links.size > most) links.removeFirst().abandon()
    }

    /** Forgets [link], which has ended. */
    fun remove(link: L) {
        links.remove(link)
    }

    /** Ends connections that the other end is about to close. */
    fun closeExpired(now: Duration) {
        while (links.firstOrNull()?.let { expired(it, now) } ?: return) links.removeFirst().abandon()
    }

    /** Ends all. */
    fun closeAll() {
        val all = links.toList()
        links.clear()
        all.forEach { it.abandon() }
    }

    private fun expired(link: L, now: Duration) = now - link.idleSince > link.keepAlive - MARGIN

    private companion object {
        /** A connection that the other end closes at this moment must not be used. */
        val MARGIN = 1.seconds
    }
}
