package io.poplarwood.entry.forward

import io.poplarwood.decision.routing.AttemptResult
import io.poplarwood.entry.http.respondToAll
import io.poplarwood.entry.support.ServerFixture
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class EngineRetrySpec {
    private val post = "POST /x HTTP/1.1\r\nHost: counter\r\nContent-Length: 3\r\n\r\nabc"

    @Nested
    inner class `the client engine` {
        /** Guards against the engine's own retry of a request whose connection was reset. */
        @Test
        fun `sends a request once when its connection is reset`() {
            for (request in listOf(post, "GET /x HTTP/1.1\r\nHost: counter\r\n\r\n")) {
                ServerFixture(serve = {
                    readHead()
                    reset()
                }).use { fixture ->
                    val answer = fixture.caller().use { it.send(request).answer() }
                    assertEquals(502, answer.status)
                    assertEquals(1, fixture.upstream.heads.size)
                    assertEquals(AttemptResult.CONNECTION_LOST, fixture.evidence().single().result)
                }
            }
        }

        /** Guards against the engine's own retry of a 503 with `Retry-After`. */
        @Test
        fun `sends a request once when it is answered 503`() {
            for (request in listOf(post, "GET /x HTTP/1.1\r\nHost: counter\r\n\r\n")) {
                ServerFixture(serve = {
                    while (readHead() != null) {
                        if (request == post) skipBytes(3)
                        send("HTTP/1.1 503 Busy\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n")
                    }
                }).use { fixture ->
                    val answer = fixture.caller().use { it.send(request).answer() }
                    assertEquals(503, answer.status)
                    assertEquals(null, answer.header("Poplarwood-Outcome"))
                    assertEquals(1, fixture.upstream.heads.size)
                    assertEquals(AttemptResult.SERVER_ERROR, fixture.evidence().single().result)
                }
            }
        }

        /** Guards against a redirect that the load balancer follows itself. */
        @Test
        fun `passes redirects to the caller`() {
            ServerFixture(
                serve = { respondToAll("HTTP/1.1 302 Found\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n") },
            ).use { fixture ->
                val answer = fixture.caller().use { it.send("GET /x HTTP/1.1\r\nHost: counter\r\n\r\n").answer() }
                assertEquals(302, answer.status)
                assertEquals("/other", answer.header("Location"))
                assertEquals(1, fixture.upstream.heads.size)
            }
        }
    }

    @Nested
    inner class `outcome not-run` {
        /** Guards against a refusal other than not-run when the upstream states that it did not run the request. */
        @Test
        fun `is reported when the upstream states it`() {
            for ((cause, result) in listOf("busy" to AttemptResult.BUSY, "draining" to AttemptResult.DRAINING)) {
                ServerFixture(attempts = 2, serve = {
                    while (readHead() != null) {
                        skipBytes(3)
                        send("HTTP/1.1 503 No\r\nPoplarwood-Not-Run: $cause\r\nContent-Length: 0\r\n\r\n")
                    }
                }).use { fixture ->
                    val answer = fixture.caller().use { it.send(post).answer() }
                    assertEquals("not-run", answer.header("Poplarwood-Outcome"))
                    assertEquals("upstream-$cause", answer.header("Poplarwood-Reason"))
                    assertEquals(listOf(result, result), fixture.evidence(2).map { it.result })
                    assertContains(
                        fixture.metrics.exposition().decodeToString(),
                        "poplarwood_retries_total{reason=\"upstream-$cause\"} 1.0",
                    )
                }
            }
        }

        /** Guards against a failed connection attempt that is reported as possibly run. */
        @Test
        fun `is reported when no connection could be opened`() {
            ServerFixture(upstreamAddress = "127.0.0.1:1").use { fixture ->
                val answer = fixture.caller().use { it.send(post).answer() }
                assertEquals("connect-failed", answer.header("Poplarwood-Reason"))
                assertEquals(503, answer.status)
            }
        }

        /** Guards against not-run for a request that was passed to a connection. */
        @Test
        fun `is not reported once the request was passed to a connection`() {
            ServerFixture(serve = {
                read()
                reset()
            }).use { fixture ->
                val answer = fixture.caller().use { it.send(post).answer() }
                assertEquals("unknown", answer.header("Poplarwood-Outcome"))
            }
        }
    }
}
