package io.poplarwood.gateway.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.support.HEADER_NAMES
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds

/** Whether an answer counts as whole, by how its connection ends and how far the request has been sent by then. */
class ResponseEndsSpec {
    private val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
    private val address = "127.0.0.1:${server.localPort}"
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    @AfterEach
    fun close() {
        server.close()
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    private enum class Framing(val header: String, val part: String, val rest: String) {
        NONE("", "abcde", "fghij"),
        LENGTH("Content-Length: 10\r\n", "abcde", "fghij"),
        CHUNKED("Transfer-Encoding: chunked\r\n", "5\r\nabcde\r\n", "5\r\nfghij\r\n0\r\n\r\n"),
    }

    private enum class Received(val bytes: (Framing) -> String) {
        NO_HEAD({ "" }),
        PART_OF_BODY({ head(it) + it.part }),
        WHOLE_BODY({ head(it) + it.part + it.rest }),
    }

    /** How the server ends its connection. */
    private enum class End(val run: (Socket) -> Unit) {
        CLOSED_ITS_SIDE({
            it.shutdownOutput()
            readRest(it)
        }),
        RESET({
            it.setSoLinger(true, 0)
            it.close()
        }),
    }

    /** Serves one connection: reads the first bytes, sends [received], and ends the connection as [end] says. */
    private fun serveOne(framing: Framing, received: Received, end: End) = CompletableFuture.runAsync {
        server.accept().use { socket ->
            socket.getInputStream().read(ByteArray(1024))
            socket.getOutputStream().write(received.bytes(framing).encodeToByteArray())
            Thread.sleep(DELIVERY_MS)
            end.run(socket)
        }
    }

    /** The result of a request of [bodyBytes] to an upstream whose connection ends so. */
    private fun exchange(bodyBytes: Int, framing: Framing, received: Received, end: End): AttemptResult? {
        val pool = UpstreamConnectionPool(group, HEADER_NAMES, Ticker { 10.seconds }, BodyMemoryBudget(1_000))
        val headers = DefaultHttpHeaders()
        val body = ByteArray(bodyBytes)
        val request =
            CallerRequest("POST", "/a/1", "a.example", headers, body, "id", "127.0.0.1", 10.seconds, 5.seconds)
        val outbound = UpstreamRequest(request, 15.seconds, "u1")
        serveOne(framing, received, end)
        return runBlocking(group.next().asCoroutineDispatcher()) {
            withTimeoutOrNull(5_000) { pool.exchange(address, outbound, 1.seconds) }
        }
    }

    private fun describe(result: AttemptResult?) = when (result) {
        is AttemptResult.Answered -> result.body.decodeToString()
        is AttemptResult.Lost -> result.cause.name
        else -> "$result"
    }

    /** The results by framing and by what was received, of requests of [bodyBytes] whose connections end so. */
    private fun results(bodyBytes: Int, end: End) = Framing.entries.associateWith { framing ->
        Received.entries.map { describe(exchange(bodyBytes, framing, it, end)) }
    }

    @Nested
    inner class `an answer of an upstream` {
        private val lost = listOf("CONNECTION_LOST", "CUT_SHORT")

        @Test
        fun `is whole when the upstream closes its side behind it`() {
            val expected = mapOf(
                Framing.NONE to listOf("CONNECTION_LOST", "abcde", "abcdefghij"),
                Framing.LENGTH to lost + "abcdefghij",
                Framing.CHUNKED to lost + "abcdefghij",
            )
            assertEquals(expected, results(bodyBytes = 10, End.CLOSED_ITS_SIDE))
        }

        /** Guards against an early answer that is lost because the upstream reads the rest of the upload later. */
        @Test
        fun `is whole when the upstream closes its side behind it while the upload is being sent`() {
            val expected = mapOf(
                Framing.NONE to listOf("CONNECTION_LOST", "abcde", "abcdefghij"),
                Framing.LENGTH to lost + "abcdefghij",
                Framing.CHUNKED to lost + "abcdefghij",
            )
            assertEquals(expected, results(LONG_UPLOAD_BYTES, End.CLOSED_ITS_SIDE))
        }

        @Test
        fun `without a length is cut short by a reset when all was sent`() {
            val expected = mapOf(
                Framing.NONE to lost + "CUT_SHORT",
                Framing.LENGTH to lost + "abcdefghij",
                Framing.CHUNKED to lost + "abcdefghij",
            )
            assertEquals(expected, results(bodyBytes = 10, End.RESET))
        }

        /** Guards against a part of an answer that passes as a whole one, because a write fails before a read does. */
        @Test
        fun `without a length is cut short by a reset while the upload is being sent`() {
            val expected = mapOf(
                Framing.NONE to lost + "CUT_SHORT",
                Framing.LENGTH to lost + "abcdefghij",
                Framing.CHUNKED to lost + "abcdefghij",
            )
            assertEquals(expected, results(LONG_UPLOAD_BYTES, End.RESET))
        }
    }

    @Nested
    inner class `a reply to a call of this entry` {
        private fun call(bodyBytes: Int, received: Received, end: End): HttpReply? {
            val client = EntryHttpClient(group) { 10.seconds }
            serveOne(Framing.NONE, received, end)
            return runBlocking(group.next().asCoroutineDispatcher()) {
                client.call(address, "PUT", "/rows", ByteArray(bodyBytes), 5.seconds)
            }
        }

        @Test
        fun `without a length is whole when the other side closes its side behind it`() {
            val reply = assertIs<HttpReply>(call(bodyBytes = 10, Received.WHOLE_BODY, End.CLOSED_ITS_SIDE))
            assertEquals("abcdefghij", reply.body.decodeToString())
        }

        @Test
        fun `without a length is no reply when its connection is reset`() {
            assertNull(call(bodyBytes = 10, Received.PART_OF_BODY, End.RESET))
        }

        /** Guards against a part of the store's answer that passes as the whole one. */
        @Test
        fun `without a length is no reply when its connection is reset while the call is being sent`() {
            assertNull(call(LONG_UPLOAD_BYTES, Received.PART_OF_BODY, End.RESET))
        }
    }

    private companion object {
        /** More than the buffers of both sides of a connection hold. */
        const val LONG_UPLOAD_BYTES = 16 * 1024 * 1024

        /** Time in which what the server has sent is read by the other side. */
        const val DELIVERY_MS = 100L

        fun head(framing: Framing) = "HTTP/1.1 200 OK\r\nRequest-Id: id\r\nSignature: s\r\n${framing.header}\r\n"

        fun readRest(socket: Socket) {
            val buffer = ByteArray(64 * 1024)
            while (socket.getInputStream().read(buffer) >= 0) Unit
        }
    }
}
