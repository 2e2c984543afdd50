package io.poplarwood.entry.forward

import io.poplarwood.decision.routing.AttemptResult
import io.poplarwood.entry.http.answering
import io.poplarwood.entry.support.ServerFixture
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class ResendSpec {
    private val post = "POST /x HTTP/1.1\r\nHost: counter\r\nContent-Length: 3\r\n\r\nabc"

    @Nested
    inner class `the client engine` {
        /** Guards against the engine's own retry of a request whose connection was reset. */
        @Test
        fun `sends a request once when its connection is reset`() {
            for (request in listOf(post, "GET /x HTTP/1.1\r\nHost: counter\r\n\r\n")) {
                ServerFixture(serve = {
                    head()
                    reset()
                }).use { path ->
                    val answer = path.caller().use { it.send(request).answer() }
                    assertEquals(502, answer.status)
                    assertEquals(1, path.upstream.heads.size)
                    assertEquals(AttemptResult.CONNECTION_LOST, path.evidence().single().result)
                }
            }
        }

        /** Guards against the engine's own retry of a 503 with `Retry-After`. */
        @Test
        fun `sends a request once when it is answered 503`() {
            for (request in listOf(post, "GET /x HTTP/1.1\r\nHost: counter\r\n\r\n")) {
                ServerFixture(serve = {
                    while (head() != null) {
                        if (request == post) skip(3)
                        send("HTTP/1.1 503 Busy\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n")
                    }
                }).use { path ->
                    val answer = path.caller().use { it.send(request).answer() }
                    assertEquals(503, answer.status)
                    assertEquals(null, answer.header("Poplarwood-Outcome"))
                    assertEquals(1, path.upstream.heads.size)
                    assertEquals(AttemptResult.SERVER_ERROR, path.evidence().single().result)
                }
            }
        }

        /** Guards against a redirect that the balancer follows in its caller's place. */
        @Test
        fun `passes redirects on`() {
            ServerFixture(
                serve = { answering("HTTP/1.1 302 Found\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n") },
            ).use { path ->
                val answer = path.caller().use { it.send("GET /x HTTP/1.1\r\nHost: counter\r\n\r\n").answer() }
                assertEquals(302, answer.status)
                assertEquals("/other", answer.header("Location"))
                assertEquals(1, path.upstream.heads.size)
            }
        }
    }

    @Nested
    inner class `not-run` {
        /** Guards against a not-run answer that lacks the upstream's word or a failed connect. */
        @Test
        fun `is said when the upstream says so`() {
            for ((word, result) in listOf("busy" to AttemptResult.BUSY, "draining" to AttemptResult.DRAINING)) {
                ServerFixture(attempts = 2, serve = {
                    while (head() != null) {
                        skip(3)
                        send("HTTP/1.1 503 No\r\nPoplarwood-Not-Run: $word\r\nContent-Length: 0\r\n\r\n")
                    }
                }).use { path ->
                    val answer = path.caller().use { it.send(post).answer() }
                    assertEquals("not-run", answer.header("Poplarwood-Outcome"))
                    assertEquals("upstream-$word", answer.header("Poplarwood-Reason"))
                    assertEquals(listOf(result, result), path.evidence(2).map { it.result })
                    assertContains(
                        path.metrics.exposition().decodeToString(),
                        "poplarwood_retries_total{reason=\"upstream-$word\"} 1.0",
                    )
                }
            }
        }

        /** Guards against a failed connect that is reported as possibly run. */
        @Test
        fun `is said when no connection could be made`() {
            ServerFixture(upstreamAddress = "127.0.0.1:1").use { path ->
                val answer = path.caller().use { it.send(post).answer() }
                assertEquals("connect-failed", answer.header("Poplarwood-Reason"))
                assertEquals(503, answer.status)
            }
        }

        /** Guards against not-run for a request whose bytes were handed to a connection. */
        @Test
        fun `is not said once the connection took the request`() {
            ServerFixture(serve = {
                read()
                reset()
            }).use { path ->
                val answer = path.caller().use { it.send(post).answer() }
                assertEquals("unknown", answer.header("Poplarwood-Outcome"))
            }
        }
    }
}
