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
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Opening a connection takes 200 ms, by the clock of the pool. */
class UpstreamConnectionPoolSpec {
    private val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
    private val received = CompletableFuture.supplyAsync { readHead() }
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private var now = 10.seconds
    private val pool = UpstreamConnectionPool(group, HEADER_NAMES, Ticker { now }, BodyMemoryBudget(1_000)) {
        now += 200.milliseconds
    }

    @AfterEach
    fun close() {
        server.close()
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    private fun readHead(): String = server.accept().use { socket ->
        socket.getInputStream().bufferedReader().lineSequence().takeWhile { it.isNotEmpty() }.joinToString("\n")
    }

    /** The result of a request with [timeout], or null after a second without one. */
    private fun exchange(timeout: Duration, maySend: () -> Boolean): AttemptResult? {
        val headers = DefaultHttpHeaders()
        val request =
            CallerRequest("GET", "/a/1", "a.example", headers, ByteArray(0), "id", "127.0.0.1", now, timeout)
        val outbound = UpstreamRequest(request, now + timeout, "u1", maySend = maySend)
        return runBlocking(group.next().asCoroutineDispatcher()) {
            withTimeoutOrNull(1_000) { pool.exchange("127.0.0.1:${server.localPort}", outbound, 1.seconds) }
        }
    }

    @Nested
    inner class `a request whose connection is open` {
        /** Guards against requests that leave on a judgement made before their connection was opened. */
        @Test
        fun `is withheld when it may not be sent any more`() {
            val openedFrom = now
            assertIs<AttemptResult.Withheld>(exchange(1.seconds) { now == openedFrom })
        }

        @Test
        fun `is withheld when its deadline has passed`() {
            assertIs<AttemptResult.Withheld>(exchange(200.milliseconds) { true })
        }

        /** Guards against upstreams that work for callers who have left, because connecting took time. */
        @Test
        fun `names the time that is left then`() {
            exchange(1.seconds) { true }
            val head = received.get(1, TimeUnit.SECONDS)
            assertEquals("800", head.lines().first { it.startsWith("deadline-ms") }.substringAfter(": "))
        }
    }
}
