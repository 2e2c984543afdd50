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
    private val news = PeerMessage.Fleet(FleetMessage.ChangeAck(7))

    private fun <T : AutoCloseable> use(made: T): T = made.also(open::add)

    @AfterEach
    fun closeAll() = open.asReversed().forEach { it.close() }

    private fun assertNothing(entry: TestEntry) = assertTrue(entry.received.tryReceive().isFailure)

    @Nested
    inner class `two entries with one secret` {
        @Test
        fun `talk both ways over one link`() = runBlocking {
            // Guards against a link per direction, which would double the heartbeats.
            val a = use(TestEntry("a"))
            val b = use(TestEntry("b"))
            a.network.send(b.address, news)
            val (from, message) = withTimeout(5.seconds) { b.received.receive() }
            assertEquals(a.address to news, from.address to message)
            b.network.send(from.address, news)
            assertEquals(news, withTimeout(5.seconds) { a.received.receive() }.second)
            assertEquals(listOf(1, 1), listOf(a.network.openLinks, b.network.openLinks))
            assertEquals(a.bytesSent.get(), b.bytesReceived.get())
        }

        @Test
        fun `talk when one speaks the version before`() = runBlocking {
            // Guards against an update that must stop all entries at once.
            val a = use(TestEntry("a", versions = 2..3))
            val b = use(TestEntry("b", versions = 1..2))
            a.network.send(b.address, news)
            assertEquals(news, withTimeout(5.seconds) { b.received.receive() }.second)
        }

        @Test
        fun `find a silent link within 2 s and replace it`() = runBlocking {
            // Guards against an open connection that passes nothing while new ones work.
            val b = use(TestEntry("b"))
            val relay = use(Relay(b.network.port))
            val a = use(TestEntry("a"))
            val through = "127.0.0.1:${relay.port}"
            a.network.send(through, news)
            withTimeout(5.seconds) { b.received.receive() }
            relay.silence()
            val found = measureTime { eventually(10.seconds) { a.count(Rejection.SILENT) > 0 } }
            assertTrue(found <= 2.seconds, "found after $found")
            a.network.send(through, news)
            withTimeout(5.seconds) { b.received.receive() }
            Unit
        }
    }

    @Nested
    inner class `a link is refused` {
        @Test
        fun `to an entry with another secret`() = runBlocking {
            // Guards against strangers that take part in the cell.
            val a = use(TestEntry("a", secret = "wrong"))
            val b = use(TestEntry("b"))
            a.network.send(b.address, news)
            eventually(5.seconds) { a.count(Rejection.UNAUTHENTICATED) > 0 }
            assertNothing(b)
            assertEquals(0, b.network.openLinks)
        }

        @Test
        fun `to a dialler that answers the challenge wrongly`() = runBlocking {
            // Guards the accepting side, which must not rely on the dialling side to notice.
            val b = use(TestEntry("b"))
            val wire = b.connect()
            val out = DataOutputStream(wire.getOutputStream())
            for (frame in RawFrames.helloAndWrongProof()) {
                out.writeInt(frame.size)
                out.write(frame)
                out.flush()
                delay(100.milliseconds)
            }
            eventually(5.seconds) { b.count(Rejection.UNAUTHENTICATED) > 0 }
            assertEquals(0, b.network.openLinks)
        }

        @Test
        fun `to an entry without a version in common`() = runBlocking {
            // Guards against frames that one side reads differently.
            val a = use(TestEntry("a", versions = 4..5))
            val b = use(TestEntry("b", versions = 1..2))
            a.network.send(b.address, news)
            eventually(5.seconds) { a.count(Rejection.VERSION) > 0 && b.count(Rejection.VERSION) > 0 }
            assertNothing(b)
        }

        @Test
        fun `to an entry that is not admitted`() = runBlocking {
            // Guards against a run that is gone and has not noticed.
            val a = use(TestEntry("a"))
            val b = use(TestEntry("b", admit = { false }))
            a.network.send(b.address, news)
            eventually(5.seconds) { b.count(Rejection.UNKNOWN_SENDER) > 0 }
            assertNothing(b)
        }
    }

    @Nested
    inner class `a connection is closed and counted` {
        private fun send(entry: TestEntry, length: Int, body: ByteArray) {
            val socket = use(entry.connect())
            val out = DataOutputStream(socket.getOutputStream())
            out.writeInt(length)
            out.write(body)
            out.flush()
        }

        @Test
        fun `after a frame over the limit`() = runBlocking {
            // Guards the memory of the entry.
            val b = use(TestEntry("b"))
            send(b, 256 * 1024 + 1, ByteArray(10))
            eventually(5.seconds) { b.count(Rejection.OVERSIZED) == 1 }
        }

        @Test
        fun `after a frame that is no message`() = runBlocking {
            // Guards against damage that is read as something else.
            val b = use(TestEntry("b"))
            send(b, 10, ByteArray(10) { 0xff.toByte() })
            eventually(5.seconds) { b.count(Rejection.MALFORMED) == 1 }
        }

        @Test
        fun `after a handshake that does not end`() = runBlocking {
            // Guards against connections that are held open for nothing.
            val b = use(TestEntry("b"))
            use(b.connect())
            eventually(5.seconds) { b.count(Rejection.SILENT) == 1 }
        }
    }

    @Nested
    inner class `a full queue` {
        @Test
        fun `drops and counts in place of blocking`() = runBlocking {
            // Guards decisions, which must never wait for a link.
            val deaf = use(java.net.ServerSocket(0, 50, java.net.InetAddress.getLoopbackAddress()))
            val a = use(TestEntry("a", queueFrames = 100))
            val took = measureTime { repeat(5_000) { a.network.send("127.0.0.1:${deaf.localPort}", news) } }
            assertTrue(took < 2.seconds, "took $took")
            assertTrue(a.count(Rejection.QUEUE_FULL) >= 4_000, "dropped ${a.count(Rejection.QUEUE_FULL)}")
        }
    }
}
