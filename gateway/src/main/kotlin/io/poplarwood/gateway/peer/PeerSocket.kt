package io.poplarwood.gateway.peer

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import io.poplarwood.gateway.http.UpstreamConnectionPool
import io.poplarwood.gateway.http.bindTo
import io.poplarwood.gateway.metrics.GatewayMetrics
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import java.net.InetSocketAddress

/**
 * Sends and receives the datagrams of entries at [address]. A datagram that cannot be decoded is counted and dropped.
 */
internal class PeerSocket(
    private val group: EventLoopGroup,
    private val address: String,
    private val metrics: GatewayMetrics,
    private val onMessage: (PeerMessage) -> Unit,
) {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    /** `PeerMessage.serializer()` builds the serializer and its descriptors anew on each call. */
    private val serializer = PeerMessage.serializer()
    private val addresses = HashMap<String, InetSocketAddress>()
    private var channel: Channel? = null

    /** Binds [address]; throws [io.poplarwood.gateway.http.ListenFailedException] if that fails. */
    suspend fun start() {
        val handler = object : SimpleChannelInboundHandler<DatagramPacket>() {
            override fun channelRead0(ctx: ChannelHandlerContext, msg: DatagramPacket) = decode(msg)

            // An unreachable peer is detected by its missing heartbeats.
            override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) = Unit
        }
        channel = Bootstrap().group(group).channel(NioDatagramChannel::class.java)
            .option(ChannelOption.RECVBUF_ALLOCATOR, FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES)).handler(handler)
            .bindTo(address)
    }

    /** Sends [message] to each of [peers], given as `ip:port`; does nothing before [start] has returned. */
    fun send(message: PeerMessage, peers: List<String>) {
        val socket = channel ?: return
        val bytes = cbor.encodeToByteArray(serializer, message)
        for (peer in peers) {
            val to = addresses.getOrPut(peer) { UpstreamConnectionPool.socketAddress(peer) }
            socket.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), to))
        }
        socket.flush()
        metrics.datagramSent(message.kind, bytes.size, peers.size)
    }

    private fun decode(packet: DatagramPacket) {
        val bytes = ByteArray(packet.content().readableBytes())
        packet.content().readBytes(bytes)
        try {
            val message = cbor.decodeFromByteArray(serializer, bytes)
            metrics.datagramReceived(message.kind, bytes.size)
            onMessage(message)
        } catch (e: SerializationException) {
            metrics.datagramMalformed()
        } catch (e: IllegalArgumentException) {
            metrics.datagramMalformed()
        }
    }

    private companion object {
        /** The largest datagram; a smaller receive buffer would cut heartbeats that name many upstreams. */
        const val MAX_DATAGRAM_BYTES = 64 * 1024
    }
}
