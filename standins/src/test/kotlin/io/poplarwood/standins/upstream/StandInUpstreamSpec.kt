package io.poplarwood.standins.upstream

import io.poplarwood.api.http.Headers
import io.poplarwood.api.id.ServiceName
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.io.IOException
import java.net.ConnectException
import java.net.Socket
import java.net.SocketTimeoutException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.net.http.HttpResponse.BodyHandlers
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ExecutionException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

internal class StandInUpstreamSpec {
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private val options = UpstreamOptions(ServiceName("counter"), slots = 2, connectionLimit = 4)
    private var upstream = start(options)

    @AfterEach
    fun stop() = runBlocking { upstream.stop() }

    @Nested
    inner class `an upstream with all slots taken` {
        /** Guards against benchmarks in which load shedding never occurs. */
        @Test
        fun `sheds a request and reports that it did not run`() {
            val running = List(2) { send("/long", StandInHeaders.WORK_MS to "400") }
            awaitCondition { upstream.stats().inFlight == 2 }
            val shed = send("/next").join()
            assertEquals("busy", shed.headers().firstValue(Headers.NOT_RUN).orElse(""))
            assertEquals("2/2", shed.headers().firstValue(Headers.LOAD).orElse(""))
            assertEquals(listOf(200, 200), running.map { it.join().statusCode() })
            assertEquals(2, upstream.stats().started)
        }

        /** Guards against an upstream that sheds requests although its queue has room. */
        @Test
        fun `queues requests when configured to`() {
            restart(options.copy(slots = 1, maxQueued = 1))
            val answers = List(2) { send("/long", StandInHeaders.WORK_MS to "100") }
            assertEquals(listOf(200, 200), answers.map { it.join().statusCode() })
            assertEquals(1, upstream.stats().maxInFlight)
        }
    }

    @Nested
    inner class `a request` {
        /** Without the run count and the token, tests could not detect duplicate runs or swapped responses. */
        @Test
        fun `is answered with its token and its number of runs`() {
            val key = Headers.IDEMPOTENCY_KEY to "e1.k1"
            val answers = List(2) { answer(send("/order", key, StandInHeaders.TOKEN to "t$it").join()) }
            assertEquals(listOf("t0" to 1, "t1" to 2), answers.map { it.token to it.run })
            assertEquals(mapOf("e1.k1" to 2), upstream.runs())
        }

        /** Guards against truncated uploads that are counted as complete. */
        @Test
        fun `does not run when its body is truncated`() {
            Socket("127.0.0.1", port()).use {
                it.outputStream.write("PUT /art HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nhalf".toByteArray())
                it.outputStream.flush()
                awaitCondition { upstream.stats().inFlight == 1 }
            }
            awaitCondition { upstream.stats().inFlight == 0 }
            assertEquals(0, upstream.stats().completed)
        }

        /** Guards against slots that stay taken after the caller disconnects. */
        @Test
        fun `frees its slot when its connection closes`() {
            Socket("127.0.0.1", port()).use {
                it.outputStream.write("GET /a HTTP/1.1\r\nHost: a\r\nStand-In-Work-Ms: 60000\r\n\r\n".toByteArray())
                it.outputStream.flush()
                awaitCondition { upstream.stats().inFlight == 1 }
            }
            awaitCondition { upstream.stats().cancelled == 1L && upstream.stats().inFlight == 0 }
        }

        /** Guards against requests that keep running past their deadline. */
        @Test
        fun `is abandoned at its deadline`() {
            val timedOut = send("/a", StandInHeaders.WORK_MS to "5000", Headers.DEADLINE_MS to "50").join()
            assertEquals(504, timedOut.statusCode())
            assertEquals(1, upstream.stats().deadlines)
        }

        /** Guards against large response bodies that a test cannot verify. */
        @Test
        fun `is answered with a body generated from its token`() {
            val size = StandInHeaders.ANSWER_BYTES to "100000"
            val body = send("/big", size, StandInHeaders.TOKEN to "t").join().body()
            assertTrue(body.contentEquals(Pattern.bytes("t", 0, 100_000)))
        }

        /** Guards against a truncated response that looks complete to the client. */
        @Test
        fun `fails when its response is truncated`() {
            val truncated = arrayOf(StandInHeaders.ANSWER_BYTES to "100000", StandInHeaders.CUT_ANSWER_AT to "500")
            assertFailsWith<IOException> { rethrowCause(send("/big", *truncated)) }
        }
    }

    @Nested
    inner class `a crash` {
        /** Guards against a crash that leaves connections or the listener open. */
        @Test
        fun `resets all connections and the upstream listens again`() {
            upstream.fault { copy(crashPath = "poison", downAfterCrashMs = 300) }
            val bystander = send("/long", StandInHeaders.WORK_MS to "60000")
            awaitCondition { upstream.stats().inFlight == 1 }
            assertFailsWith<IOException> { rethrowCause(send("/poison")) }
            assertFailsWith<IOException> { rethrowCause(bystander) }
            assertFailsWith<ConnectException> { Socket("127.0.0.1", port()).close() }
            awaitCondition { runCatching { Socket("127.0.0.1", port()).close() }.isSuccess }
            assertEquals(200, send("/again").join().statusCode())
        }
    }

    @Nested
    inner class `connections` {
        /** Guards against a silenced connection that is closed or still answers. */
        @Test
        fun `carry no data once silenced while new ones work`() {
            Socket("127.0.0.1", port()).use { silenced ->
                silenced.soTimeout = 200
                awaitCondition { upstream.stats().openConnections == 1 }
                assertEquals(1, upstream.silenceConnections())
                silenced.outputStream.write("GET /a HTTP/1.1\r\nHost: a\r\n\r\n".toByteArray())
                assertFailsWith<SocketTimeoutException> { silenced.inputStream.read() }
                assertEquals(200, send("/b").join().statusCode())
            }
        }

        /** Guards against benchmarks that use more connections than a real upstream accepts. */
        @Test
        fun `are refused above the limit`() {
            val sockets = List(5) { Socket("127.0.0.1", port()) }
            awaitCondition { upstream.stats().connectionsRefused == 1L }
            assertEquals(4, upstream.stats().openConnections)
            sockets.forEach { it.close() }
        }
    }

    @Nested
    inner class `reports` {
        /** With health reports that are always current and true, tests would not exercise stale or false reports. */
        @Test
        fun `lag and are false when configured to`() {
            // The first exchange of a process takes longer than the lag.
            assertEquals(200, send("/health").join().statusCode())
            upstream.fault { copy(draining = true, reportLagMs = 300) }
            assertEquals(200, send("/health").join().statusCode())
            awaitCondition { send("/health").join().statusCode() == 503 }
            upstream.fault { copy(healthLies = true, reportedLoad = 7) }
            assertEquals(200, send("/health").join().statusCode())
            assertEquals(LoadReport(7, 2), Json.decodeFromString(send("/load").join().body().decodeToString()))
        }

        /** Guards against requests that run while the upstream is draining. */
        @Test
        fun `state that the upstream is draining and the request did not run`() {
            upstream.fault { copy(draining = true) }
            val answer = send("/a").join()
            assertEquals(503 to "draining", answer.statusCode() to answer.headers().firstValue(Headers.NOT_RUN).get())
        }

        /** Guards against faults that cannot be set from another process. */
        @Test
        fun `reflect faults set over HTTP`() {
            val body = HttpRequest.BodyPublishers.ofString("""{"failFast":true,"slowFactor":3.0}""")
            val request = HttpRequest.newBuilder(URI("http://${upstream.address}/standin/faults")).PUT(body).build()
            assertEquals(204, client.send(request, BodyHandlers.discarding()).statusCode())
            assertEquals(500, send("/a").join().statusCode())
        }
    }

    private fun start(options: UpstreamOptions) = runBlocking { StandInUpstream(options).start() }

    private fun restart(options: UpstreamOptions) {
        stop()
        upstream = start(options)
    }

    private fun port() = upstream.address.substringAfter(':').toInt()

    private fun send(path: String, vararg headers: Pair<String, String>): CompletableFuture<HttpResponse<ByteArray>> {
        val request = HttpRequest.newBuilder(URI("http://${upstream.address}$path")).timeout(Duration.ofSeconds(10))
        headers.forEach { (name, value) -> request.header(name, value) }
        return client.sendAsync(request.build(), BodyHandlers.ofByteArray())
    }

    private fun answer(response: HttpResponse<ByteArray>): RunResponse =
        Json.decodeFromString(response.body().decodeToString())

    private fun rethrowCause(pending: CompletableFuture<*>) {
        try {
            pending.get()
        } catch (e: ExecutionException) {
            throw e.cause ?: e
        }
    }

    private fun awaitCondition(condition: () -> Boolean) {
        val start = TimeSource.Monotonic.markNow()
        while (!condition()) {
            check(start.elapsedNow() < 5_000.milliseconds) { "condition not met within 5 s; ${upstream.stats()}" }
            Thread.sleep(10)
        }
    }
}
