package io.poplarwood.gateway.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.poplarwood.api.time.Ticker
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A server whose replies have their number as body, and that may send each again before the reply to the next call. */
class SecondRepliesSpec {
    private val server = ServerSocket(0, 9, InetAddress.getLoopbackAddress())
    private val address = "127.0.0.1:${server.localPort}"
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val accepted = AtomicInteger()
    private val received = AtomicInteger()

    @Volatile
    private var now = 0.seconds

    @Volatile
    private var answersTwice = true
    private val client = EntryHttpClient(group, Ticker { now })

    init {
        thread(isDaemon = true) {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: return@thread
                accepted.incrementAndGet()
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
        var late = ""
        while (generateSequence(input::readLine).takeWhile { line -> line.isNotEmpty() }.count() > 0) {
            val reply = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n${received.incrementAndGet()}"
            it.getOutputStream().write((late + reply).encodeToByteArray())
            late = if (answersTwice) reply else ""
        }
    }

    private fun <T> onEventLoop(block: suspend () -> T): T =
        runBlocking(group.next().asCoroutineDispatcher()) { block() }

    /** The reply to a call that is sent at [at]. */
    private fun call(at: Duration): HttpReply = onEventLoop {
        now = at
        assertNotNull(client.call(address, "GET", "/h", null, 5.seconds))
    }

    private fun closeIdle() = onEventLoop { client.closeIdle(address) }

    @Nested
    inner class `a reply on a connection that has carried a call` {
        /** Guards against a second reply to the earlier call that is dated by the later one (MIXED). */
        @Test
        fun `may be as old as that call`() {
            val replies = listOf(call(at = 1.seconds), call(at = 2.seconds))
            assertEquals(listOf("1", "1"), replies.map { it.body.decodeToString() })
            assertEquals(listOf(null, 1.seconds), replies.map { it.earlierCallSentAt })
        }

        @Test
        fun `may be as old as the last call before it only`() {
            answersTwice = false
            val replies = List(3) { call(at = it.seconds) }
            assertEquals(listOf(null, 0.seconds, 1.seconds), replies.map { it.earlierCallSentAt })
        }
    }

    @Nested
    inner class `a call after the idle connections were closed` {
        @Test
        fun `gets its own reply`() {
            call(at = 1.seconds)
            closeIdle()
            val reply = call(at = 2.seconds)
            assertEquals("2" to null, reply.body.decodeToString() to reply.earlierCallSentAt)
        }
    }

    /** Guards against a new connection for every call. */
    @Test
    fun `calls reuse a connection that has brought no second reply`() {
        answersTwice = false
        repeat(3) { call(at = it.seconds) }
        assertEquals(1, accepted.get())
    }
}
