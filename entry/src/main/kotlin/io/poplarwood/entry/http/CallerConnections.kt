package io.poplarwood.entry.http

import io.netty.channel.Channel
import io.poplarwood.entry.metrics.EntryMetrics
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration

/**
 * All open connections of callers, counted by address.
 *
 * @param limit maximum number of connections from one caller address
 */
internal class CallerConnections(private val limit: Int, private val metrics: EntryMetrics) {
    private val byAddress = ConcurrentHashMap<InetAddress, AtomicInteger>()
    private val open = ConcurrentHashMap.newKeySet<Channel>()

    /** True during a graceful shutdown: responses then ask callers to close their connections. */
    @Volatile
    var draining: Boolean = false

    /** Adds [channel]; false when its address is over the connection limit. The channel is counted in either case. */
    fun add(channel: Channel): Boolean {
        metrics.callerConnected()
        open += channel
        val count = byAddress.computeIfAbsent(addressOf(channel)) { AtomicInteger() }.incrementAndGet()
        return count <= limit
    }

    fun remove(channel: Channel) {
        if (!open.remove(channel)) return
        metrics.callerDisconnected()
        byAddress.computeIfPresent(addressOf(channel)) { _, count -> if (count.decrementAndGet() <= 0) null else count }
    }

    val isEmpty: Boolean get() = open.isEmpty()

    /** Closes connections idle for at least [minIdle]; on one idle for less a request may still be arriving. */
    fun closeIdleFor(minIdle: Duration) {
        for (channel in open) {
            val connection = channel.attr(CallerConnection.KEY).get() ?: continue
            if (connection.isIdleFor(minIdle.inWholeNanoseconds)) channel.close()
        }
    }

    private fun addressOf(channel: Channel): InetAddress =
        (channel.remoteAddress() as? InetSocketAddress)?.address ?: InetAddress.getLoopbackAddress()
}
