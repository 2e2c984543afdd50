package io.poplarwood.entry.http

import io.netty.channel.Channel
import io.poplarwood.entry.metrics.EntryMetrics
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration

/** All open connections of callers, counted by address. */
internal class CallerConnections(private val limit: Int, private val metrics: EntryMetrics) {
    private val byAddress = ConcurrentHashMap<InetAddress, AtomicInteger>()
    private val open = ConcurrentHashMap.newKeySet<Channel>()

    /** True while a planned stop runs: answers then ask callers to close their connections. */
    @Volatile
    var draining: Boolean = false

    /** Takes in [channel]; false when its address has too many connections already. */
    fun add(channel: Channel): Boolean {
        metrics.callerConnected()
        open += channel
        val count = byAddress.computeIfAbsent(addressOf(channel)) { AtomicInteger() }.incrementAndGet()
        return count <= limit
    }

    /** Forgets [channel]. */
    fun remove(channel: Channel) {
        if (!open.remove(channel)) return
        metrics.callerDisconnected()
        byAddress.computeIfPresent(addressOf(channel)) { _, count -> if (count.decrementAndGet() <= 0) null else count }
    }

    /** True when no connection is open. */
    val isEmpty: Boolean get() = open.isEmpty()

    /** Closes every connection that has been idle for [minIdle]: a request may still be on its way on a younger one. */
    fun closeIdleFor(minIdle: Duration) {
        for (channel in open) {
            val connection = channel.attr(CallerConnection.KEY).get() ?: continue
            if (connection.isIdleFor(minIdle.inWholeNanoseconds)) channel.close()
        }
    }

    private fun addressOf(channel: Channel): InetAddress =
        (channel.remoteAddress() as? InetSocketAddress)?.address ?: InetAddress.getLoopbackAddress()
}
