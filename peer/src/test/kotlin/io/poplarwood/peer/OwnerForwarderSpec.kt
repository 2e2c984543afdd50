package io.poplarwood.peer

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.poplarwood.api.id.RequestId
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.random.SplitMix
import io.poplarwood.peer.forward.Body
import io.poplarwood.peer.forward.BodyTruncatedException
import io.poplarwood.peer.forward.ForwardFailure
import io.poplarwood.peer.forward.ForwardResponse
import io.poplarwood.peer.forward.OwnerForwarder
import io.poplarwood.peer.message.ForwardHead
import io.poplarwood.peer.message.ForwardResponseHead
import io.poplarwood.peer.message.PeerMessage
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.consumeEach
import kotlinx.coroutines.channels.produce
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.io.ByteArrayOutputStream
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class OwnerForwarderSpec {
    private val open = ArrayList<AutoCloseable>()
    private val head = ForwardHead(RequestId("r1"), ServiceName("s"), "POST", "/orders", emptyList(), 1_000)
    private val forwarders = HashMap<TestEntry, OwnerForwarder>()

    @AfterEach
    fun closeAll() = open.asReversed().forEach { it.close() }

    private fun entry(name: String, serve: suspend (Body) -> ForwardResponse = { error("unexpected") }): TestEntry {
        val entry = TestEntry(name) { me, from, message -> forwarders.getValue(me).receive(from, message) }
        val network = entry.network
        forwarders[entry] =
            OwnerForwarder(entry.scope, SplitMix(1), network::send, network::put) { _, _, body -> serve(body) }
        open += entry
        return entry
    }

    private suspend fun bytes(body: Body): ByteArray {
        val out = ByteArrayOutputStream()
        body.consumeEach { out.write(it) }
        return out.toByteArray()
    }

    private fun TestEntry.body(vararg parts: ByteArray): Body = scope.produce { parts.forEach { send(it) } }

    @Nested
    inner class `a forwarded request` {
        @Test
        fun `is answered completely when its bodies exceed the window`() = runBlocking {
            // Guards against lost or reordered chunks and against buffering whole bodies in memory.
            val data = ByteArray(3_000_000) { (it * 31).toByte() }
            val a = entry("a")
            val b = entry("b") { body -> ForwardResponse(ForwardResponseHead(201, emptyList()), body) }
            val reply = assertNotNull(forwarders.getValue(a).forward(b.address, head, a.body(data), 5.seconds).get())
            assertEquals(201, reply.head.status)
            assertContentEquals(data, withTimeout(20.seconds) { bytes(reply.body) })
            TestEntry.eventually(2.seconds) { forwarders.values.all { it.inFlight == 0 } }
        }

        @Test
        fun `never looks complete to its owner when its body is truncated`() = runBlocking {
            // Guards against an upstream that processes a truncated upload as if complete.
            val ownerIsReading = CompletableDeferred<Unit>()
            val ownerReads = Channel<Result<ByteArray>>(1)
            val a = entry("a")
            val b = entry("b") { body ->
                ownerIsReading.complete(Unit)
                ownerReads.send(runCatching { bytes(body) })
                error("request body truncated")
            }
            val truncated: Body = a.scope.produce {
                send(ByteArray(10))
                ownerIsReading.await()
                throw BodyTruncatedException()
            }
            val failure = forwarders.getValue(a).forward(b.address, head, truncated, 5.seconds).getError()
            assertEquals(ForwardFailure.LOST, failure)
            assertTrue(withTimeout(5.seconds) { ownerReads.receive() }.isFailure, "the owner read a complete body")
        }

        @Test
        fun `is lost at once when its body is truncated and its owner does not reply`() = runBlocking {
            // Guards against a caller that waits for an owner whose work ended with the body.
            val a = entry("a")
            val b = entry("b") { awaitCancellation() }
            val truncated: Body = a.scope.produce { throw BodyTruncatedException() }
            val failure = withTimeout(2.seconds) {
                forwarders.getValue(a).forward(b.address, head, truncated, 5.seconds).getError()
            }
            assertEquals(ForwardFailure.LOST, failure)
            TestEntry.eventually(2.seconds) { forwarders.values.all { it.inFlight == 0 } }
        }

        @Test
        fun `times out when its owner does not reply`() = runBlocking {
            // Guards against a caller that waits forever.
            val a = entry("a")
            val b = entry("b") {
                delay(60.seconds)
                error("reply after the timeout")
            }
            val failure = forwarders.getValue(a).forward(b.address, head, a.body(), 300.milliseconds).getError()
            assertEquals(ForwardFailure.TIMED_OUT, failure)
            TestEntry.eventually(2.seconds) { forwarders.values.all { it.inFlight == 0 } }
        }

        @Test
        fun `buffers a bounded number of chunks when the reader is slow`() = runBlocking {
            // Guards against unbounded memory use at the entry that receives a large body.
            var produced = 0
            val a = entry("a")
            val b = entry("b") {
                val endless: Body = open.filterIsInstance<TestEntry>().last().scope.produce {
                    while (true) {
                        send(ByteArray(16 * 1024))
                        produced++
                    }
                }
                ForwardResponse(ForwardResponseHead(200, emptyList()), endless)
            }
            val reply = assertNotNull(forwarders.getValue(a).forward(b.address, head, a.body(), 5.seconds).get())
            delay(500.milliseconds)
            assertTrue(produced <= 20, "$produced chunks were sent to a reader that took none")
            reply.body.cancel()
            TestEntry.eventually(2.seconds) { forwarders.values.all { it.inFlight == 0 } }
        }
    }

    @Nested
    inner class `a message that belongs to no exchange` {
        @Test
        fun `is left unhandled`() {
            // The caller of receive handles other messages itself; the forwarder must not consume them.
            val a = entry("a")
            val from = io.poplarwood.fleet.message.Peer(
                io.poplarwood.api.id.EntryRef(
                    io.poplarwood.api.id.EntryId("b"),
                    io.poplarwood.api.id.Incarnation(1, 1),
                ),
                "127.0.0.1:1",
            )
            assertEquals(false, forwarders.getValue(a).receive(from, PeerMessage.CrashCleared(3)))
        }
    }
}
