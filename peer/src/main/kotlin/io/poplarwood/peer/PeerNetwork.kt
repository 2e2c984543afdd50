package io.poplarwood.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.poplarwood.api.random.RandomSource
import io.poplarwood.api.time.Ticker
import io.poplarwood.fleet.message.Peer
import io.poplarwood.peer.link.FrameCodec
import io.poplarwood.peer.link.FrameConnection
import io.poplarwood.peer.link.Handshake
import io.poplarwood.peer.link.Link
import io.poplarwood.peer.link.LinkFrame
import io.poplarwood.peer.link.PeerCounters
import io.poplarwood.peer.link.Rejection
import io.poplarwood.peer.link.SendQueue
import io.poplarwood.peer.message.PeerMessage
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/**
 * Manages the authenticated links of this entry to other entries. A link is opened when the first message for an entry
 * is queued and closed after [LinkTimings.idleTimeout] without messages. Both sides may send on an open link.
 *
 * @param self returns this run of the entry and the address at which other entries reach its listener
 * @param admit decides whether a peer that proved possession of the secret may have a link
 * @param onLinkLost called with an entry's address when the link in use to that entry has ended; frames may be lost
 * @param onMessage receives messages; must return quickly, because the link reads no further frame until then
 */
class PeerNetwork(
    private val settings: PeerSettings,
    self: () -> Peer,
    private val counters: PeerCounters,
    private val ticker: Ticker,
    private val random: RandomSource,
    admit: (Peer) -> Boolean = { true },
    private val onLinkLost: (String) -> Unit = {},
    private val onMessage: suspend (Peer, PeerMessage) -> Unit,
) {
    private val handshake = Handshake(settings.secret, settings.versions, self, admit, random)
    private val sendQueues = ConcurrentHashMap<String, SendQueue>()
    private val links = ConcurrentHashMap.newKeySet<Link>()
    private val pendingHandshakes = AtomicInteger()
    private lateinit var scope: CoroutineScope
    private lateinit var selector: SelectorManager
    private lateinit var server: ServerSocket

    val port: Int get() = (server.localAddress as InetSocketAddress).port

    /** Number of authenticated links that are open. */
    val openLinkCount: Int get() = links.size

    /** Binds the listener and starts to accept and open links; all of them end with [scope]. */
    suspend fun start(scope: CoroutineScope) {
        this.scope = scope
        selector = SelectorManager(Dispatchers.IO)
        server = aSocket(selector).tcp().bind(settings.bindHost, settings.bindPort)
        scope.launch { acceptConnections() }.invokeOnCompletion { close() }
    }

    /** Sends [message] to the entry at [address]. Never blocks. Returns false when the message was dropped. */
    fun send(address: String, message: PeerMessage): Boolean {
        val frameBody = encode(message) ?: return false
        return sendQueue(address).trySend(frameBody)
    }

    /** Sends part of a body. Suspends while too many body parts are queued for [address]. */
    suspend fun put(address: String, message: PeerMessage) {
        encode(message)?.let { sendQueue(address).sendBodyPart(it) }
    }

    /** Closes all links after the identity of this entry has changed; new links use the new identity. */
    fun renamed() = links.forEach(Link::close)

    /** Closes the listener and all links. */
    fun close() {
        links.forEach(Link::close)
        server.close()
        selector.close()
    }

    private fun encode(message: PeerMessage): ByteArray? {
        val frameBody = FrameCodec.encode(LinkFrame.Message(message))
        if (frameBody.size <= FrameCodec.MAX_BYTES) return frameBody
        counters.rejected(Rejection.OVERSIZED)
        return null
    }

    private fun sendQueue(address: String): SendQueue = sendQueues.computeIfAbsent(address) {
        val created = SendQueue(
            settings.maxQueuedFrames,
            settings.maxQueuedBytes,
            dial = { dial(address) },
            redialDelay = { settings.timings.redialDelay * (1 + random.nextDouble()) },
            onDropped = counters::rejected,
        )
        scope.launch { created.sendQueued() }
        created
    }

    private suspend fun acceptConnections() {
        while (true) {
            val socket = try {
                server.accept()
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                return
            }
            if (pendingHandshakes.incrementAndGet() > MAX_PENDING_HANDSHAKES) {
                pendingHandshakes.decrementAndGet()
                counters.rejected(Rejection.UNAUTHENTICATED)
                socket.close()
            } else {
                scope.launch { accept(socket) }
            }
        }
    }

    private suspend fun accept(socket: Socket) {
        val connection = frameConnection(socket)
        val result = try {
            withHandshakeTimeout { handshake.accept(connection) }
        } finally {
            pendingHandshakes.decrementAndGet()
        }
        result.fold(
            success = { peer ->
                val link = Link(peer, connection, settings.timings, ticker, outbound = false)
                sendQueue(peer.address).adoptLink(link)
                runLink(link)
            },
            failure = {
                counters.rejected(it)
                connection.close()
            },
        )
    }

    private suspend fun dial(address: String): Link? {
        val socket = withTimeoutOrNull(settings.timings.handshakeTimeout) { connect(address) } ?: return null
        val connection = frameConnection(socket)
        return withHandshakeTimeout { handshake.dial(connection) }.fold(
            success = { peer ->
                val link = Link(peer, connection, settings.timings, ticker, outbound = true)
                scope.launch { runLink(link) }
                link
            },
            failure = {
                counters.rejected(it)
                connection.close()
                null
            },
        )
    }

    private suspend fun connect(address: String): Socket? = try {
        val host = address.substringBeforeLast(':')
        val port = address.substringAfterLast(':').toInt()
        aSocket(selector).tcp().connect(host, port) { noDelay = true }
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        null
    }

    private suspend fun withHandshakeTimeout(block: suspend () -> Result<Peer, Rejection>): Result<Peer, Rejection> =
        withTimeoutOrNull(settings.timings.handshakeTimeout) { block() } ?: Err(Rejection.SILENT)

    private suspend fun runLink(link: Link) {
        links += link
        try {
            link.run(onMessage)?.let(counters::rejected)
        } finally {
            links -= link
        }
        val sendQueue = sendQueues[link.peer.address] ?: return
        if (sendQueue.openLink() != null) return
        onLinkLost(link.peer.address)
        if (link.recentlyUsed) sendQueue.requestLink()
    }

    private fun frameConnection(socket: Socket) =
        FrameConnection(socket, socket.openReadChannel(), socket.openWriteChannel(), counters)

    private companion object {
        /** Largest number of accepted connections that may be in their handshake at the same time. */
        const val MAX_PENDING_HANDSHAKES = 256
    }
}
