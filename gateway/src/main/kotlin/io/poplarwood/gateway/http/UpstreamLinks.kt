package io.poplarwood.gateway.http

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import io.poplarwood.api.time.Ticker
import kotlinx.coroutines.suspendCancellableCoroutine
import java.net.InetSocketAddress
import kotlin.coroutines.resume
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Connections to upstreams by address, kept for reuse. Used from the event loop only. */
internal class UpstreamLinks(
    group: EventLoopGroup,
    private val names: HeaderNames,
    private val ticker: Ticker,
    private val opened: () -> Unit = {},
) {
    private val idle = HashMap<String, ArrayDeque<UpstreamLink>>()
    private val open = HashMap<String, HashSet<UpstreamLink>>()
    private val bootstrap = Bootstrap().group(group).channel(NioSocketChannel::class.java)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT.inWholeMilliseconds.toInt())

    /**
     * Sends [outbound] to the upstream at [address]. Cancelling ends the connection.
     *
     * @param maxIdle a kept connection that was idle for longer is not used
     */
    suspend fun exchange(address: String, outbound: Outbound, maxIdle: Duration): AttemptResult {
        val link = reuse(address, maxIdle) ?: connect(address) ?: return AttemptResult.NotSent
        return suspendCancellableCoroutine { continuation ->
            continuation.invokeOnCancellation { link.abandon() }
            link.send(outbound) { if (continuation.isActive) continuation.resume(it) }
        }
    }

    /** Ends the idle connections to [address]. */
    fun closeIdle(address: String) {
        idle.remove(address)?.forEach { it.abandon() }
    }

    /** Ends connections that the other end is about to close. */
    fun closeExpired() {
        val now = ticker.now()
        for (links in idle.values) {
            while (true) {
                val oldest = links.firstOrNull() ?: break
                if (now - oldest.idleSince < oldest.keepAlive - MARGIN) break
                links.removeFirst()
                oldest.abandon()
            }
        }
    }

    private fun reuse(address: String, maxIdle: Duration): UpstreamLink? {
        val links = idle[address] ?: return null
        val now = ticker.now()
        while (true) {
            val link = links.removeLastOrNull() ?: return null
            val age = now - link.idleSince
            if (link.open && age <= link.keepAlive - MARGIN && age <= maxIdle) return link
            link.abandon()
        }
    }

    private suspend fun connect(address: String): UpstreamLink? {
        opened()
        return suspendCancellableCoroutine { continuation ->
            var link: UpstreamLink? = null
            val initializer = object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    val decoder = AnswerDecoder()
                    val created =
                        UpstreamLink(channel, names, ticker, { release(address, it) }, { forget(address, it) }, decoder)
                    link = created
                    channel.pipeline().addLast(HttpRequestEncoder(), decoder, created)
                }
            }
            val future = bootstrap.clone().handler(initializer).connect(socketAddress(address))
            continuation.invokeOnCancellation { future.channel().close() }
            future.addListener { done ->
                if (!continuation.isActive) return@addListener
                val connected = link?.takeIf { done.isSuccess }
                if (connected != null) open.getOrPut(address) { HashSet() } += connected
                continuation.resume(connected) { _, unused, _ -> unused?.abandon() }
            }
        }
    }

    private fun release(address: String, link: UpstreamLink) {
        val links = idle.getOrPut(address) { ArrayDeque() }
        links.addLast(link)
        if (links.size > MAX_IDLE) links.removeFirst().abandon()
    }

    private fun forget(address: String, link: UpstreamLink) {
        idle[address]?.remove(link)
        open[address]?.remove(link)
    }

    companion object {
        /** Parses `ip:port`. */
        fun socketAddress(address: String): InetSocketAddress =
            InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())

        /** An upstream in the same region answers within milliseconds; one without power never does. */
        private val CONNECT_TIMEOUT = 250.milliseconds

        /** A connection that the other end closes at this moment must not be used. */
        private val MARGIN = 1.seconds

        /** Idle connections kept for each upstream. */
        private const val MAX_IDLE = 6
    }
}
