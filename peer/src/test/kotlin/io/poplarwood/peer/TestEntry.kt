package io.poplarwood.peer

import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.Incarnation
import io.poplarwood.api.random.SplitMix
import io.poplarwood.fleet.message.Peer
import io.poplarwood.peer.link.PeerCounters
import io.poplarwood.peer.link.Rejection
import io.poplarwood.peer.message.PeerMessage
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.runBlocking
import java.net.InetAddress
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** A [PeerNetwork] on loopback that collects the messages received, the rejections and the lost links. */
internal class TestEntry(
    name: String,
    secret: String = "secret",
    versions: IntRange = PeerSettings.PREVIOUS_VERSION..PeerSettings.VERSION,
    admit: (Peer) -> Boolean = { true },
    maxQueuedFrames: Int = 1_024,
    toAdvertisedPort: (Int) -> Int = { it },
    private val handle: (TestEntry, Peer, PeerMessage) -> Boolean = { _, _, _ -> false },
) : PeerCounters, AutoCloseable {
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    val received = Channel<Pair<Peer, PeerMessage>>(Channel.UNLIMITED)
    val rejections = ConcurrentHashMap<Rejection, Int>()
    val bytesSent = AtomicLong()
    val bytesReceived = AtomicLong()
    val lostLinks = Channel<String>(Channel.UNLIMITED)
    private val ref = EntryRef(EntryId(name), Incarnation(1, name.hashCode().toLong()))
    private val settings =
        PeerSettings("127.0.0.1", 0, secret.encodeToByteArray(), versions, maxQueuedFrames = maxQueuedFrames)

    val network: PeerNetwork = PeerNetwork(
        settings,
        { Peer(ref, address) },
        this,
        { System.nanoTime().nanoseconds },
        SplitMix(name.hashCode().toLong()),
        admit,
        { lostLinks.trySend(it) },
        { from, message -> if (!handle(this, from, message)) received.send(from to message) },
    )
    private val advertisedPort: Int
    val address: String get() = "127.0.0.1:$advertisedPort"

    init {
        runBlocking { network.start(scope) }
        advertisedPort = toAdvertisedPort(network.port)
    }

    fun count(reason: Rejection): Int = rejections[reason] ?: 0

    /** Opens a TCP connection to the listener without a handshake. */
    fun connect(): Socket = Socket(InetAddress.getLoopbackAddress(), network.port)

    override fun rejected(reason: Rejection) {
        rejections.merge(reason, 1, Int::plus)
    }

    override fun sent(bytes: Int) {
        bytesSent.addAndGet(bytes.toLong())
    }

    override fun received(bytes: Int) {
        bytesReceived.addAndGet(bytes.toLong())
    }

    override fun close() {
        network.close()
        scope.cancel()
    }

    companion object {
        /** Polls [condition] every 10 ms until true; fails after [limit]. */
        suspend fun eventually(limit: Duration, condition: () -> Boolean) {
            val deadlineNs = System.nanoTime() + limit.inWholeNanoseconds
            while (!condition()) {
                check(System.nanoTime() < deadlineNs) { "condition not met within $limit" }
                kotlinx.coroutines.delay(10)
            }
        }
    }
}
