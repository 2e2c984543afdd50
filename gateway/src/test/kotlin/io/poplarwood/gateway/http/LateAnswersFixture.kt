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
import java.io.BufferedReader
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds

/**
 * An upstream that sends each answer a second time as the next request arrives on the connection.
 *
 * @param repeatsAnswers whether it does so; it answers once otherwise
 */
abstract class LateAnswersFixture(private val repeatsAnswers: Boolean = true) {
    private val server = ServerSocket(0, 9, InetAddress.getLoopbackAddress())
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val pool = UpstreamConnectionPool(group, HEADER_NAMES, Ticker { 10.seconds }, BodyMemoryBudget(10_000))
    private val accepted = AtomicInteger()
    private val received = AtomicInteger()

    /** Number of connections that the upstream has accepted. */
    protected val connections: Int get() = accepted.get()

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

    /** The answer to the request [number] of all, from 1; [id] is null if the request has none. */
    protected abstract fun answer(number: Int, method: String, id: String?): String

    private fun serve(socket: Socket) = socket.use {
        val input = it.getInputStream().bufferedReader()
        var late = ""
        while (true) {
            val answer = answerTo(readHead(input) ?: return)
            it.getOutputStream().write((late + answer).encodeToByteArray())
            if (repeatsAnswers) late = answer
        }
    }

    private fun readHead(input: BufferedReader): List<String>? =
        generateSequence(input::readLine).takeWhile { it.isNotEmpty() }.toList().takeIf { it.isNotEmpty() }

    private fun answerTo(head: List<String>): String {
        val id = head.firstOrNull { it.startsWith("request-id") }?.substringAfter(": ")
        return answer(received.incrementAndGet(), head.first().substringBefore(' '), id)
    }

    /** The result of a request; null when there is none within a second. */
    internal fun exchange(id: String?, method: String = "GET"): AttemptResult? {
        val headers = DefaultHttpHeaders()
        id?.let { headers.set(HEADER_NAMES.requestId, it) }
        val request =
            CallerRequest(method, "/a/1", "a.example", headers, ByteArray(0), id, "127.0.0.1", 10.seconds, 5.seconds)
        val outbound = UpstreamRequest(request, 15.seconds, "u1")
        return runBlocking(group.next().asCoroutineDispatcher()) {
            withTimeoutOrNull(1_000) { pool.exchange("127.0.0.1:${server.localPort}", outbound, 1.seconds) }
        }
    }

    /** The body of the answer to a request, which must have one. */
    protected fun bodyOfExchange(id: String?): String =
        assertIs<AttemptResult.Answered>(exchange(id)).body.decodeToString()

    /** An answer with [body]; names no request if [id] is null. */
    protected fun response(status: Int, id: String?, body: String, extraHeaders: String = ""): String {
        val echo = id?.let { "Request-Id: $it\r\n" }.orEmpty()
        return "HTTP/1.1 $status X\r\n$echo${extraHeaders}Signature: s\r\nContent-Length: ${body.length}\r\n\r\n$body"
    }
}
