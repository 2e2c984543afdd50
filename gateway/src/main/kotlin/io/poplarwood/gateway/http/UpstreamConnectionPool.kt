package io.poplarwood.gateway.http

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import io.poplarwood.api.time.Ticker
import kotlinx.coroutines.suspendCancellableCoroutine
import java.net.ConnectException
import java.net.InetSocketAddress
import kotlin.coroutines.resume
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Pool of connections to upstreams, by address (`ip:port`). Must be used from the event loop only.
 *
 * @param memory for responses that are not complete yet
 * @param path where an upstream that is registered at an address is reached
 * @param onAnswer called with each answer, once it is known to which request it belongs
 * @param onRepeatedId called with each idle connection that is not used for a request because it has carried its id
 * @param onConnect called before each attempt to open a connection
 */
internal class UpstreamConnectionPool(
    group: EventLoopGroup,
    private val names: HeaderNames,
    private val ticker: Ticker,
    private val memory: BodyMemoryBudget,
    private val path: (address: String) -> String = { it },
    private val onAnswer: (AnswerMatch) -> Unit = {},
    private val onRepeatedId: () -> Unit = {},
    private val onConnect: () -> Unit = {},
) {
    private var connectionCount = 0
    private val idle = HashMap<String, IdleConnections<UpstreamConnection>>()
    private val open = HashMap<String, HashSet<UpstreamConnection>>()
    private val bootstrap = Bootstrap().group(group).channel(NioSocketChannel::class.java)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT.inWholeMilliseconds.toInt())

    /**
     * Sends [outbound] to the upstream at [address] and waits for the result. Cancellation closes the connection.
     * Opening a connection takes time, in which the request may reach its deadline or become one that must not be sent.
     *
     * @param maxIdle a pooled connection that has been idle for longer is not reused
     * @param onConnected called with the use of the connection that carries the request
     */
    suspend fun exchange(
        address: String,
        outbound: UpstreamRequest,
        maxIdle: Duration,
        onConnected: (ConnectionUse) -> Unit = {},
    ): AttemptResult {
        val connection = takeIdle(address, outbound, maxIdle) ?: connect(address) ?: return AttemptResult.NotSent
        if (ticker.now() >= outbound.deadline || !outbound.maySend()) {
            addIdle(address, connection)
            return AttemptResult.Withheld
        }
        onConnected(connection.nextUse())
        return suspendCancellableCoroutine { continuation ->
            continuation.invokeOnCancellation { connection.cancel(outbound) }
            connection.send(outbound) { if (continuation.isActive) continuation.resume(it) }
        }
    }

    private fun takeIdle(address: String, outbound: UpstreamRequest, maxIdle: Duration): UpstreamConnection? =
        idle[address]?.take(ticker.now(), maxIdle) { mayCarry(it, outbound) }

    private fun mayCarry(connection: UpstreamConnection, outbound: UpstreamRequest): Boolean {
        val repeatsId = connection.hasCarriedIdOf(outbound)
        if (repeatsId) onRepeatedId()
        return !repeatsId && (!outbound.needsOwnConnection || connection.unused)
    }

    /** Tries to open a connection to [address], and adds it to the pool. */
    suspend fun tryConnect(address: String): ConnectResult {
        var result = ConnectResult.SILENT
        val connection = connect(address) { result = it } ?: return result
        addIdle(address, connection)
        return ConnectResult.ACCEPTED
    }

    /** Closes the idle connections to [address]. */
    fun closeIdle(address: String) {
        idle.remove(address)?.closeAll()
    }

    /** Closes idle connections that their upstream is about to close. */
    fun closeExpired() = idle.values.forEach { it.closeExpired(ticker.now()) }

    private suspend fun connect(address: String, onFailure: (ConnectResult) -> Unit = {}): UpstreamConnection? {
        onConnect()
        return suspendCancellableCoroutine { continuation ->
            var connection: UpstreamConnection? = null
            val initializer = object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    val decoder = UpstreamResponseDecoder()
                    val created = UpstreamConnection(
                        channel,
                        names,
                        ticker,
                        { addIdle(address, it) },
                        { removeClosed(address, it) },
                        decoder,
                        memory,
                        ++connectionCount,
                        onAnswer,
                    )
                    connection = created
                    channel.pipeline().addLast(HttpRequestEncoder(), decoder, created)
                }
            }
            val future = bootstrap.clone().handler(initializer).connect(socketAddress(path(address)))
            continuation.invokeOnCancellation { future.channel().close() }
            future.addListener { attempt ->
                if (!continuation.isActive) return@addListener
                attempt.cause()?.let { onFailure(resultOf(it)) }
                val connected = connection?.takeIf { attempt.isSuccess }
                connected?.openedAt = ticker.now()
                if (connected != null) open.getOrPut(address) { HashSet() } += connected
                continuation.resume(connected) { _, unused, _ -> unused?.close() }
            }
        }
    }

    private fun resultOf(failure: Throwable): ConnectResult {
        val refused = failure is ConnectException && failure !is ConnectTimeoutException
        return if (refused) ConnectResult.REFUSED else ConnectResult.SILENT
    }

    private fun addIdle(address: String, connection: UpstreamConnection) =
        idle.getOrPut(address) { IdleConnections(MAX_IDLE_PER_UPSTREAM) }.add(connection)

    private fun removeClosed(address: String, connection: UpstreamConnection) {
        idle[address]?.remove(connection)
        open[address]?.remove(connection)
    }

    companion object {
        /** Parses `ip:port`; throws if the port is no number. */
        fun socketAddress(address: String): InetSocketAddress =
            InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())

        /** An upstream in the same region accepts within milliseconds; a VM that is switched off never does. */
        private val CONNECT_TIMEOUT = 250.milliseconds

        /** Idle connections kept per upstream. */
        private const val MAX_IDLE_PER_UPSTREAM = 6
    }
}
