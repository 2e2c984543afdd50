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

/**
 * Connections to upstreams by address, kept for reuse. Used from the event loop only.
 *
 * @param memory for answers that are not complete yet
 * @param opened called for each new connection
 */
internal class UpstreamLinks(
    group: EventLoopGroup,
    private val names: HeaderNames,
    private val ticker: Ticker,
    private val memory: BodyMemory,
    private val opened: () -> Unit = {},
) {
    private val idle = HashMap<String, IdleConnections<UpstreamLink>>()
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
        val link = idle[address]?.take(ticker.now(), maxIdle) ?: connect(address) ?: return AttemptResult.NotSent
        return suspendCancellableCoroutine { continuation ->
            continuation.invokeOnCancellation { link.abandon() }
            link.send(outbound) { if (continuation.isActive) continuation.resume(it) }
        }
    }

    /** Whether [address] accepts a connection; one that was opened for this is kept for later requests. */
    suspend fun reaches(address: String): Boolean {
        val link = connect(address) ?: return false
        release(address, link)
        return true
    }

    /** Ends the idle connections to [address]. */
    fun closeIdle(address: String) {
        idle.remove(address)?.closeAll()
    }

    /** Ends connections that the other end is about to close. */
    fun closeExpired() = idle.values.forEach { it.closeExpired(ticker.now()) }

    private suspend fun connect(address: String): UpstreamLink? {
        opened()
        return suspendCancellableCoroutine { continuation ->
            var link: UpstreamLink? = null
            val initializer = object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    val decoder = UpstreamResponseDecoder()
                    val created = UpstreamLink(
                        channel,
                        names,
                        ticker,
                        { release(address, it) },
                        { forget(address, it) },
                        decoder,
                        memory,
                    )
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

    private fun release(address: String, link: UpstreamLink) = idle.getOrPut(address) {
        IdleConnections(MAX_IDLE)
    }.add(link)

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

        /** Idle connections kept for each upstream. */
        private const val MAX_IDLE = 6
    }
}
