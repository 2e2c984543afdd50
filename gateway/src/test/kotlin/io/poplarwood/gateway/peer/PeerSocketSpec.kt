package io.poplarwood.gateway.peer

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.poplarwood.gateway.metrics.GatewayMetrics
import io.poplarwood.gateway.support.hello
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import java.net.DatagramSocket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals

/** Datagrams between two entries on loopback. */
class PeerSocketSpec {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val metrics = GatewayMetrics()
    private val received = LinkedBlockingQueue<PeerMessage>()

    @AfterEach
    fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly(1_000)
    }

    private fun socket(address: String) = PeerSocket(group, address, metrics) { received += it }
        .also { runBlocking { it.start() } }

    private fun freeAddress() = "127.0.0.1:${DatagramSocket(0).use { it.localPort }}"

    /** Guards against heartbeats that are cut and dropped when an entry has requests at many upstreams. */
    @Test
    fun `a heartbeat that names hundreds of upstreams arrives whole`() {
        val address = freeAddress()
        socket(address)
        val load = LoadPart(inFlight = List(UPSTREAMS) { "i-${"%010x".format(it)}" to 3 }.toMap())
        socket(freeAddress()).send(hello("a").copy(load = load), listOf(address))
        val message = received.poll(2, TimeUnit.SECONDS) as? PeerMessage.Hello
        assertEquals(UPSTREAMS, message?.load?.inFlight?.size)
    }

    private companion object {
        const val UPSTREAMS = 437
    }
}
