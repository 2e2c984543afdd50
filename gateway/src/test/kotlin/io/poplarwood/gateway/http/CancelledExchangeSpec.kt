package io.poplarwood.gateway.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.support.HEADER_NAMES
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.AfterEach
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds

/** The upstream answers each request with its id. */
class CancelledExchangeSpec {
    private val server = ServerSocket(0, 9, InetAddress.getLoopbackAddress())
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private var onFirstAnswer: (() -> Unit)? = null
    private val pool = UpstreamConnectionPool(
        group,
        HEADER_NAMES,
        Ticker { 10.seconds },
        BodyMemoryBudget(10_000),
        onAnswer = {
            onFirstAnswer?.invoke()
            onFirstAnswer = null
        },
    )

    init {
        thread(isDaemon = true) {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: return@thread
                thread(isDaemon = true) { runCatching { serve(socket) } }
            }
        }
    }

    @AfterEach
    fun close() {
        server.close()
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    private fun serve(socket: Socket) = socket.use {
        val input = it.getInputStream().bufferedReader()
        while (true) {
            val head = generateSequence(input::readLine).takeWhile { line -> line.isNotEmpty() }.toList()
            val id = head.first { line -> line.startsWith("request-id") }.substringAfter(": ")
            val answer = "HTTP/1.1 200 X\r\nRequest-Id: $id\r\nSignature: s\r\nContent-Length: ${id.length}\r\n\r\n$id"
            it.getOutputStream().write(answer.encodeToByteArray())
        }
    }

    private fun CoroutineScope.exchange(id: String): Deferred<AttemptResult> =
        async(start = CoroutineStart.UNDISPATCHED) {
            val headers = DefaultHttpHeaders().set(HEADER_NAMES.requestId, id)
            val request =
                CallerRequest("GET", "/a/1", "a.example", headers, ByteArray(0), id, "127.0.0.1", 10.seconds, 5.seconds)
            pool.exchange("127.0.0.1:${server.localPort}", UpstreamRequest(request, 15.seconds, "u1"), 1.seconds)
        }

    /** Guards against a request that nobody answers, because the one before on its connection is cancelled too late. */
    @Test
    fun `a request that is cancelled as its answer arrives does not close the connection of the next one`() {
        val result = runBlocking(loop.asCoroutineDispatcher()) {
            val first = exchange("a")
            lateinit var second: Deferred<AttemptResult>
            // Both run after the answer has been read and before the first request is resumed with it.
            onFirstAnswer = {
                loop.execute { second = exchange("b") }
                loop.execute { first.cancel() }
            }
            first.join()
            withTimeoutOrNull(1_000) { second.await() }.also { second.cancel() }
        }
        assertEquals("b", assertIs<AttemptResult.Answered>(result).body.decodeToString())
    }
}
