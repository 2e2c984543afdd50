package io.poplarwood.entry.http

import io.poplarwood.entry.support.RawUpstream
import io.poplarwood.entry.support.ServerFixture
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class CallServerSpec {
    @Nested
    inner class `an accepted request` {
        /** Guards against a request that is modified in transit, or a response whose load report is lost. */
        @Test
        fun `reaches the upstream unmodified and returns its response`() {
            ServerFixture(serve = {
                respondToAll("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nPoplarwood-Load: 2/3\r\nX-A: b\r\n\r\nhello")
            })
                .use { fixture ->
                    val answer = fixture.caller().use {
                        it.send("GET /a%2Fb?c=%20d HTTP/1.1\r\nHost: counter.local\r\nX-Q: 1\r\n\r\n").answer()
                    }
                    assertEquals(200, answer.status)
                    assertEquals("hello", answer.body)
                    assertEquals("b", answer.header("X-A"))
                    assertEquals(1, answer.head.lines().count { it.startsWith("Content-Length", ignoreCase = true) })
                    val head = fixture.upstream.heads.single()
                    assertContains(head, "GET /a%2Fb?c=%20d HTTP/1.1\r\n")
                    assertContains(head, "Host: counter.local\r\n")
                    assertContains(head, "X-Q: 1\r\n")
                    assertContains(head, "Poplarwood-Rank: urgent\r\n")
                    assertContains(head, "Poplarwood-Depth: 1\r\n")
                    assertContains(head, "Poplarwood-Retry: no\r\n")
                    assertContains(head, "Poplarwood-Request-Id: ${answer.header("Poplarwood-Request-Id")}\r\n")
                    assertTrue(head.lines().any { it.startsWith("Poplarwood-Deadline-Ms: ") })
                    assertFalse(head.contains("Poplarwood-Exchange"))
                    assertContains(head, "User-Agent: poplarwood\r\n")
                    assertEquals(2, fixture.evidence().single().reportedInFlight)
                    assertEquals(3, fixture.evidence().single().reportedSlots)
                }
        }

        /** Guards against a body that is lost, or sent with a different length. */
        @Test
        fun `is sent with its body`() {
            ServerFixture(serve = {
                readHead()
                skipBytes(10)
                send("HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n")
            }).use { fixture ->
                val answer =
                    fixture.caller().use {
                        it.send(
                            "POST /x HTTP/1.1\r\nHost: counter\r\n" +
                                "Content-Type: image/png\r\nContent-Length: 10\r\n\r\n0123456789",
                        ).answer()
                    }
                assertEquals(201, answer.status)
                val head = fixture.upstream.heads.single()
                assertContains(head, "Content-Length: 10\r\n")
                assertEquals(1, Regex("Content-Type: image/png\r\n").findAll(head).count(), head)
                assertEquals(1, Regex("Host: ").findAll(head).count(), head)
            }
        }
    }

    @Nested
    inner class `a request without a body` {
        /** Guards against an absent body that is sent as an empty chunked one. */
        @Test
        fun `is sent without a body`() {
            ServerFixture(serve = { respondToAll("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") }).use { fixture ->
                fixture.caller().use { caller ->
                    for (method in listOf("POST", "DELETE", "GET")) {
                        caller.send("$method / HTTP/1.1\r\nHost: counter\r\n\r\n").answer()
                    }
                }
                assertFalse(
                    fixture.upstream.heads.any {
                        it.contains("Transfer-Encoding")
                    },
                    fixture.upstream.heads.toString(),
                )
                assertEquals(3, fixture.upstream.heads.size)
            }
        }
    }

    @Nested
    inner class `a refusal` {
        /** Guards against a refusal that a caller cannot distinguish from an upstream's response. */
        @Test
        fun `states its outcome and reason in status, headers and body`() {
            ServerFixture().use { fixture ->
                val answer = fixture.caller().use { it.send("GET / HTTP/1.1\r\nHost: nowhere\r\n\r\n").answer() }
                assertEquals(404, answer.status)
                assertEquals("not-run", answer.header("Poplarwood-Outcome"))
                assertEquals("unknown-service", answer.header("Poplarwood-Reason"))
                assertContains(answer.body, "\"reason\":\"unknown-service\"")
                assertContains(answer.body, answer.header("Poplarwood-Request-Id").orEmpty())
            }
        }
    }
}

/** Responds with [text] to every request; the requests must have no body. */
internal fun RawUpstream.Connection.respondToAll(text: String) {
    while (readHead() != null) send(text)
}
