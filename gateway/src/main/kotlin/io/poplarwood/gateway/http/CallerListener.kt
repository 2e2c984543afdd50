package io.poplarwood.gateway.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseEncoder
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.route.CallerLimits
import kotlinx.coroutines.CoroutineScope
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Accepts connections of callers at [address] and answers their requests with [serve].
 *
 * @param currentLimits what callers may send now
 * @param bodies memory for request bodies
 * @param mayRepeat whether requests to a target of a host may run more than once
 */
internal class CallerListener(
    private val group: EventLoopGroup,
    private val address: String,
    private val scope: CoroutineScope,
    private val ticker: Ticker,
    val names: HeaderNames,
    val bodies: BodyMemory,
    private val currentLimits: () -> CallerLimits,
    val mayRepeat: (host: String, target: String) -> Boolean,
    val serve: suspend (CallerRequest) -> Answer,
) {
    private val connections = HashSet<CallerConnection>()
    private var channel: Channel? = null

    val limits: CallerLimits get() = currentLimits()

    /** Whether each answer ends its connection, so that callers turn to other entries. */
    var closesAfterAnswer: Boolean = false

    /** Open connections. */
    val connectionCount: Int get() = connections.size

    /** Binds the listener. */
    suspend fun start() {
        val initializer = object : ChannelInitializer<Channel>() {
            override fun initChannel(ch: Channel) {
                val decoder = HttpRequestDecoder(MAX_LINE_BYTES, limits.maxHeaderBytes, MAX_CHUNK_BYTES)
                ch.pipeline().addLast(
                    decoder,
                    HttpResponseEncoder(),
                    CallerConnection(this@CallerListener, scope, ticker),
                )
            }
        }
        channel = ServerBootstrap().group(group).channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(initializer)
            .bind(UpstreamLinks.socketAddress(address)).awaitChannel()
    }

    /** Ends connections on which nothing has happened for a while; a request may be on its way on others. */
    fun closeQuiet() = connections.filter { !it.busy && it.idleFor > QUIET }.forEach { it.close() }

    /** Accepts no further connection. */
    fun close() {
        channel?.close()
    }

    internal fun opened(connection: CallerConnection) {
        connections += connection
    }

    internal fun closed(connection: CallerConnection) {
        connections -= connection
    }

    private companion object {
        const val MAX_LINE_BYTES = 8 * 1024
        const val MAX_CHUNK_BYTES = 64 * 1024
        const val BACKLOG = 1024

        /** Longer than a request takes from a caller to its entry. */
        val QUIET: Duration = 300.milliseconds
    }
}
