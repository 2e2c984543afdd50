package io.poplarwood.peer

import io.poplarwood.fleet.message.FleetMessage
import io.poplarwood.peer.TestEntry.Companion.eventually
import io.poplarwood.peer.link.Rejection
import io.poplarwood.peer.message.PeerMessage
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.io.DataOutputStream
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

class PeerNetworkSpec {
    private val open = ArrayList<AutoCloseable>()
    private val update = PeerMessage.Fleet(FleetMessage.ChangeAck(7))

    private fun <T : AutoCloseable> closeAfterTest(resource: T): T = resource.also(open::add)

    @AfterEach
    fun closeAll() = open.asReversed().forEach { it.close() }

    private fun assertNothingReceived(entry: TestEntry) = assertTrue(entry.received.tryReceive().isFailure)

    @Nested
    inner class `two entries with the same secret` {
        @Test
        fun `exchange messages in both directions over one link`() = runBlocking {
            // Guards against one link per direction, which would double the heartbeat traffic.
            val a = closeAfterTest(TestEntry("a"))
            val b = closeAfterTest(TestEntry("b"))
            a.network.send(b.address, update)
            val (from, message) = withTimeout(5.seconds) { b.received.receive() }
            assertEquals(a.address to update, from.address to message)
            b.network.send(from.address, update)
            assertEquals(update, withTimeout(5.seconds) { a.received.receive() }.second)
            assertEquals(listOf(1, 1), listOf(a.network.openLinkCount, b.network.openLinkCount))
            assertEquals(a.bytesSent.get(), b.bytesReceived.get())
        }

        @Test
        fun `communicate when one runs the previous protocol version`() = runBlocking {
            // Guards against releases that can be installed only by stopping all entries at the same time.
            val a = closeAfterTest(TestEntry("a", versions = 2..3))
            val b = closeAfterTest(TestEntry("b", versions = 1..2))
            a.network.send(b.address, update)
            assertEquals(update, withTimeout(5.seconds) { b.received.receive() }.second)
        }

        @Test
        fun `detect a silent link within 2 s and replace it`() = runBlocking {
            // Guards against a connection that stays open but transfers no data while new connections work.
            val b = closeAfterTest(TestEntry("b"))
            val relay = closeAfterTest(Relay(b.network.port))
            val a = closeAfterTest(TestEntry("a"))
            val relayAddress = "127.0.0.1:${relay.port}"
            a.network.send(relayAddress, update)
            withTimeout(5.seconds) { b.received.receive() }
            relay.silence()
            val detectionTime = measureTime { eventually(10.seconds) { a.count(Rejection.SILENT) > 0 } }
            assertTrue(detectionTime <= 2.seconds, "found after $detectionTime")
            a.network.send(relayAddress, update)
            withTimeout(5.seconds) { b.received.receive() }
            Unit
        }
    }

    @Nested
    inner class `a link is refused` {
        @Test
        fun `to an entry with a different secret`() = runBlocking {
            // Guards against processes without the secret joining the cell.
            val a = closeAfterTest(TestEntry("a", secret = "wrong"))
            val b = closeAfterTest(TestEntry("b"))
            a.network.send(b.address, update)
            eventually(5.seconds) { a.count(Rejection.UNAUTHENTICATED) > 0 }
            assertNothingReceived(b)
            assertEquals(0, b.network.openLinkCount)
        }

        @Test
        fun `to a dialler that sends a wrong proof`() = runBlocking {
            // The accepting side must check the proof itself and not rely on the dialling side to detect the mismatch.
            val b = closeAfterTest(TestEntry("b"))
            val socket = b.connect()
            val out = DataOutputStream(socket.getOutputStream())
            for (frame in RawFrames.helloAndWrongProof()) {
                out.writeInt(frame.size)
                out.write(frame)
                out.flush()
                delay(100.milliseconds)
            }
            eventually(5.seconds) { b.count(Rejection.UNAUTHENTICATED) > 0 }
            assertEquals(0, b.network.openLinkCount)
        }

        @Test
        fun `to an entry without a common protocol version`() = runBlocking {
            // Guards against frames that the two sides decode differently.
            val a = closeAfterTest(TestEntry("a", versions = 4..5))
            val b = closeAfterTest(TestEntry("b", versions = 1..2))
            a.network.send(b.address, update)
            eventually(5.seconds) { a.count(Rejection.VERSION) > 0 && b.count(Rejection.VERSION) > 0 }
            assertNothingReceived(b)
        }

        @Test
        fun `to an entry that is not admitted`() = runBlocking {
            // Guards against a run of an entry that the cell has removed but that still sends.
            val a = closeAfterTest(TestEntry("a"))
            val b = closeAfterTest(TestEntry("b", admit = { false }))
            a.network.send(b.address, update)
            eventually(5.seconds) { b.count(Rejection.UNKNOWN_SENDER) > 0 }
            assertNothingReceived(b)
        }
    }

    @Nested
    inner class `a connection is closed and counted` {
        private fun send(entry: TestEntry, length: Int, body: ByteArray) {
            val socket = closeAfterTest(entry.connect())
            val out = DataOutputStream(socket.getOutputStream())
            out.writeInt(length)
            out.write(body)
            out.flush()
        }

        @Test
        fun `after an oversized frame`() = runBlocking {
            // Guards against allocating memory for a length that the peer chose.
            val b = closeAfterTest(TestEntry("b"))
            send(b, 256 * 1024 + 1, ByteArray(10))
            eventually(5.seconds) { b.count(Rejection.OVERSIZED) == 1 }
        }

        @Test
        fun `after a malformed frame`() = runBlocking {
            // Guards against corrupted data that is decoded as a valid message.
            val b = closeAfterTest(TestEntry("b"))
            send(b, 10, ByteArray(10) { 0xff.toByte() })
            eventually(5.seconds) { b.count(Rejection.MALFORMED) == 1 }
        }

        @Test
        fun `after a handshake timeout`() = runBlocking {
            // Guards against unauthenticated connections that are held open indefinitely.
            val b = closeAfterTest(TestEntry("b"))
            closeAfterTest(b.connect())
            eventually(5.seconds) { b.count(Rejection.SILENT) == 1 }
        }
    }

    @Nested
    inner class `a full queue` {
        @Test
        fun `drops and counts messages instead of blocking`() = runBlocking {
            // Routing decisions send messages and must never wait for a link.
            val nonAccepting = closeAfterTest(java.net.ServerSocket(0, 50, java.net.InetAddress.getLoopbackAddress()))
            val a = closeAfterTest(TestEntry("a", maxQueuedFrames = 100))
            val elapsed =
                measureTime { repeat(5_000) { a.network.send("127.0.0.1:${nonAccepting.localPort}", update) } }
            assertTrue(elapsed < 2.seconds, "took $elapsed")
            assertTrue(a.count(Rejection.QUEUE_FULL) >= 4_000, "dropped ${a.count(Rejection.QUEUE_FULL)}")
        }
    }
}
