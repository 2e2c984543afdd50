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
 * Accepts connections of callers at [address] (`ip:port`) and answers their requests with [serve].
 *
 * @param bodyMemory memory for request bodies, shared by all connections
 * @param currentLimits the limits in force, which may change with the desired state
 * @property fromEntries whether other entries connect here, not callers
 * @param isRetryable whether requests to a target of a host may run more than once
 */
internal class CallerListener(
    private val group: EventLoopGroup,
    private val address: String,
    private val scope: CoroutineScope,
    private val ticker: Ticker,
    val names: HeaderNames,
    val bodyMemory: BodyMemoryBudget,
    private val currentLimits: () -> CallerLimits,
    val isRetryable: (host: String, target: String) -> Boolean,
    val serve: suspend (CallerRequest) -> CallerResponse,
    val fromEntries: Boolean = false,
) {
    private val connections = HashSet<CallerConnection>()
    private var channel: Channel? = null

    val limits: CallerLimits get() = currentLimits()

    /** Whether each response closes its connection, so that callers move to other entries. */
    var closesAfterResponse: Boolean = false

    /** Number of open connections. */
    val connectionCount: Int get() = connections.size

    /** Binds [address]; throws [ListenFailedException] if that fails. */
    suspend fun start() {
        val initializer = object : ChannelInitializer<Channel>() {
            override fun initChannel(ch: Channel) {
                val decoder = HttpRequestDecoder(MAX_REQUEST_LINE_BYTES, limits.maxHeaderBytes, MAX_CHUNK_BYTES)
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
            .bindTo(address)
    }

    /** Closes connections idle for longer than [IDLE_THRESHOLD]; on the others a request may be in transit. */
    fun closeIdle() = connections.filter { !it.busy && it.idleFor > IDLE_THRESHOLD }.forEach { it.close() }

    /** Stops accepting connections; open ones stay open. */
    fun close() {
        channel?.close()
    }

    internal fun onOpened(connection: CallerConnection) {
        connections += connection
    }

    internal fun onClosed(connection: CallerConnection) {
        connections -= connection
    }

    private companion object {
        const val MAX_REQUEST_LINE_BYTES = 8 * 1024
        const val MAX_CHUNK_BYTES = 64 * 1024
        const val BACKLOG = 1024

        /** Longer than the network delay of a request from a caller to its entry. */
        val IDLE_THRESHOLD: Duration = 300.milliseconds
    }
}
