package io.poplarwood.entry.http

import io.poplarwood.decision.routing.AttemptResult
import io.poplarwood.entry.support.RawCaller
import io.poplarwood.entry.support.ServerFixture
import io.poplarwood.entry.support.waitUntil
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class HttpExchangeSpec {
    @Nested
    inner class `a response without a body` {
        /** Guards against waiting for or adding a body, which shifts every later response on the connection. */
        @Test
        fun `leaves its connections usable`() {
            val heads =
                mapOf(
                    "HEAD /h" to "HTTP/1.1 200 OK\r\nContent-Length: 500\r\nETag: a\r\n\r\n",
                    "GET /n" to "HTTP/1.1 204 No Content\r\nETag: a\r\n\r\n",
                    "GET /m" to "HTTP/1.1 304 Not Modified\r\nContent-Length: 500\r\nETag: a\r\n\r\n",
                    "GET /i" to
                        "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\nETag: a\r\n\r\n",
                )
            ServerFixture(serve = {
                while (true) {
                    val head = readHead() ?: break
                    send(heads.getValue(head.substringBefore(" HTTP")))
                }
            }).use { fixture ->
                fixture.caller().use { caller ->
                    (heads.toList() + heads.toList()).forEach { (request, answer) -> exchange(caller, request, answer) }
                }
                assertEquals(8, fixture.upstream.heads.size)
            }
        }

        private fun exchange(caller: RawCaller, request: String, answer: String) {
            val got = caller.send("$request HTTP/1.1\r\nHost: counter\r\n\r\n").answer { 0 }
            assertEquals(answer.substringAfterLast("HTTP/1.1 ").take(3).toInt(), got.status, request)
            assertEquals("a", got.header("ETag"))
            if (request.startsWith("HEAD")) assertEquals("500", got.header("Content-Length"))
            if (request == "GET /n") assertEquals(null, got.header("Content-Length"))
        }
    }

    @Nested
    inner class `hop-by-hop headers` {
        /** Guards against hop-by-hop headers that are forwarded, and against upstreams that forge a refusal. */
        @Test
        fun `are not forwarded`() {
            ServerFixture(serve = {
                respondToAll(
                    "HTTP/1.1 200 OK\r\nConnection: keep-alive, X-Mine\r\nX-Mine: 1\r\nKeep-Alive: timeout=5\r\n" +
                        "Poplarwood-Outcome: not-run\r\nX-Kept: 1\r\nContent-Length: 0\r\n\r\n",
                )
            }).use { fixture ->
                val request =
                    "GET / HTTP/1.1\r\nHost: counter\r\nConnection: X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n" +
                        "Upgrade: h2c\r\n" +
                        "Poplarwood-Exchange: 99\r\nPoplarwood-Depth: 3\r\nX-Kept: 1\r\n\r\n"
                val answer = fixture.caller().use { it.send(request).answer() }
                assertEquals(null, answer.header("X-Mine"))
                assertEquals(null, answer.header("Keep-Alive"))
                assertEquals(null, answer.header("Poplarwood-Outcome"))
                assertEquals("1", answer.header("X-Kept"))
                val head = fixture.upstream.heads.single()
                for (name in listOf(
                    "X-Hop:",
                    "TE:",
                    "Upgrade:",
                    "Poplarwood-Exchange",
                )) {
                    assertFalse(head.contains(name), head)
                }
                assertTrue(head.contains("Poplarwood-Depth: 4\r\n"), head)
                assertTrue(head.contains("X-Kept: 1"), head)
            }
        }
    }

    @Nested
    inner class `an upload` {
        /** Guards against an early response that waits for the rest of an upload that is no longer read, or is lost. */
        @Test
        fun `gets a response that is sent before the upload ends`() {
            ServerFixture(serve = {
                readHead()
                send("HTTP/1.1 403 No\r\nContent-Length: 2\r\n\r\nno")
                Thread.sleep(1000)
            }).use { fixture ->
                val caller = fixture.caller()
                caller.send("POST /up HTTP/1.1\r\nHost: counter\r\nContent-Length: 300000\r\n\r\n" + "x".repeat(1000))
                val answer = caller.answer()
                assertEquals(403, answer.status)
                assertEquals("close", answer.header("Connection")?.lowercase())
                assertEquals("", caller.readToEnd())
                waitUntil("close of the abandoned connection") { fixture.upstream.connections.single().socket.isClosed }
            }
        }

        /** Guards against `100 Continue` for a refused request, and against `100 Continue` that is never sent. */
        @Test
        fun `gets 100 Continue only when the request is accepted`() {
            ServerFixture(serve = {
                readHead()
                skipBytes(100_000)
                send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            }).use { fixture ->
                fixture.caller().use { caller ->
                    caller.send(
                        "POST /up HTTP/1.1\r\nHost: counter\r\nExpect: 100-continue\r\nContent-Length: 100000\r\n\r\n",
                    )
                    assertEquals(100, caller.answer { 0 }.status)
                    assertEquals(200, caller.send("x".repeat(100_000)).answer().status)
                }
                fixture.caller().use { caller ->
                    caller.send(
                        "POST /small HTTP/1.1\r\nHost: counter\r\nExpect: 100-continue\r\n" +
                            "Content-Length: 100000\r\n\r\n",
                    )
                    assertEquals(413, caller.answer().status)
                }
            }
        }

        /** Guards against a body of undeclared length that exceeds the limit of its class. */
        @Test
        fun `over the limit of its class is truncated`() {
            ServerFixture(serve = { readToEnd() }).use { fixture ->
                val chunk = "400\r\n" + "x".repeat(1024) + "\r\n"
                val text =
                    fixture.caller().use {
                        it.send(
                            "POST /small HTTP/1.1\r\nHost: counter\r\nTransfer-Encoding: chunked\r\n\r\n$chunk",
                        ).answer()
                    }
                assertEquals("unknown", text.header("Poplarwood-Outcome"))
                assertTrue(fixture.metrics.exposition().decodeToString().contains("{reason=\"body-too-large\"} 1.0"))
                waitUntil("close of the upload's connection") {
                    fixture.upstream.connections.all { it.socket.isClosed }
                }
                assertFalse(fixture.upstream.connections.any { it.receivedText().contains("\r\n0\r\n") })
            }
        }
    }

    @Nested
    inner class `a caller that disconnects` {
        /** Guards against work for a disconnected caller, and against reuse of a connection with a stale response. */
        @Test
        fun `closes the connection to the upstream`() {
            for (request in listOf(
                "GET /slow HTTP/1.1\r\nHost: counter\r\n\r\n",
                "POST /slow HTTP/1.1\r\nHost: counter\r\nContent-Length: 1\r\n\r\nx",
            )) {
                ServerFixture(serve = { readToEnd() }).use { fixture ->
                    val caller = fixture.caller().send(request)
                    waitUntil("request at the upstream") {
                        fixture.upstream.connections.any { it.receivedText().contains("\r\n\r\n") }
                    }
                    caller.close()
                    waitUntil("close of the upstream's connection") {
                        fixture.upstream.connections.single().socket.isClosed
                    }
                    waitUntil("end of the request") { fixture.server.inFlight == 0 }
                }
            }
        }

        /** Guards against a late response that is returned to the next request on a reused connection. */
        @Test
        fun `does not leak its response to another caller`() {
            ServerFixture(serve = {
                while (true) {
                    val head = readHead() ?: break
                    if (head.contains("/slow")) Thread.sleep(300)
                    val body = head.substringAfter("GET /").substringBefore(' ')
                    send("HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n$body")
                }
            }).use { fixture ->
                repeat(5) {
                    val disconnecting = fixture.caller().send("GET /slow$it HTTP/1.1\r\nHost: counter\r\n\r\n")
                    waitUntil("request at the upstream") {
                        fixture.upstream.heads.any { head ->
                            head.contains("/slow$it")
                        }
                    }
                    disconnecting.close()
                    val answer = fixture.caller().use { c ->
                        c.send("GET /fast$it HTTP/1.1\r\nHost: counter\r\n\r\n").answer()
                    }
                    assertEquals("fast$it", answer.body)
                }
                assertFalse(fixture.runner.evidence.any { it.result == AttemptResult.CONNECTION_LOST })
            }
        }
    }
}
