package io.poplarwood.standins.net

import io.ktor.server.application.Application
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationEngine
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import java.util.concurrent.atomic.AtomicReference

internal const val LOOPBACK = "127.0.0.1"

/**
 * A Netty server on loopback. One thread per event loop group, because a test runs dozens of servers.
 *
 * @param onConnection called for each accepted connection before the first read
 */
internal class LoopbackServer(
    private val port: Int,
    private val onConnection: (Channel) -> Unit = {},
    private val module: Application.() -> Unit,
) {
    private val listenChannel = AtomicReference<Channel>()
    private var server: EmbeddedServer<NettyApplicationEngine, NettyApplicationEngine.Configuration>? = null

    /** Starts to listen and returns the port. */
    suspend fun start(): Int {
        val started = embeddedServer(Netty, configure = { configure() }, module = module)
        server = started
        started.startSuspend(wait = false)
        return started.engine.resolvedConnectors().first().port
    }

    /** Closes the listening socket; open connections stay open. */
    fun stopListening() {
        listenChannel.get()?.close()?.syncUninterruptibly()
    }

    suspend fun stop() {
        server?.stopSuspend(gracePeriodMillis = 0, timeoutMillis = STOP_TIMEOUT_MS)
    }

    private fun NettyApplicationEngine.Configuration.configure() {
        connector {
            host = LOOPBACK
            port = this@LoopbackServer.port
        }
        connectionGroupSize = 1
        workerGroupSize = 1
        callGroupSize = 1
        configureBootstrap = {
            handler(object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) = listenChannel.set(channel)
            })
        }
        channelPipelineConfig = { onConnection(channel()) }
    }

    private companion object {
        const val STOP_TIMEOUT_MS = 200L
    }
}
