package io.poplarwood.entry.http

import io.poplarwood.entry.settings.HttpSettings
import io.poplarwood.entry.support.ServerFixture
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class FramingSpec {
    @Nested
    inner class `malformed framing` {
        /** Guards against a request that two parsers read differently, and bytes that run as a smuggled request. */
        @ParameterizedTest
        @ValueSource(
            strings = [
                "POST / HTTP/1.1\nHost: counter\nContent-Length: 5\nTransfer-Encoding: chunked\n\n0\n\n<smuggled>",
                "POST / HTTP/1.1\nHost: counter\nContent-Length: 5\nContent-Length: 6\n\nabcdef<smuggled>",
                "POST / HTTP/1.1\nHost: counter\nContent-Length: 5\nContent-Length: 5\n\nabcde<smuggled>",
                "POST / HTTP/1.1\nHost: counter\nContent-Length: 5, 6\n\nabcdef<smuggled>",
                "POST / HTTP/1.1\nHost: counter\nContent-Length: +5\n\nabcde<smuggled>",
                "POST / HTTP/1.1\nHost: counter\nContent-Length : 5\n\nabcde<smuggled>",
                "POST / HTTP/1.1\nHost: counter\nTransfer-Encoding: gzip, chunked\n\n0\n\n<smuggled>",
                "POST / HTTP/1.1\nHost: counter\nTransfer-Encoding: chunked\n\nzz\nabc\n0\n\n<smuggled>",
                "POST / HTTP/1.1\nHost: counter\nTransfer-Encoding: chunked\n\n-1\nabc\n0\n\n<smuggled>",
                "GET / HTTP/1.1\nX-A: b\n\n<smuggled>",
                "GET / HTTP/1.1\nHost: counter\nHost: other\n\n<smuggled>",
                "GET / HTTP/1.1\nHost: counter\n X-Folded: b\n X-Folded: c\nbad line\n\n<smuggled>",
            ],
        )
        fun `is refused before any request runs`(request: String) {
            ServerFixture(serve = { respondToAll("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") }).use { fixture ->
                val text = fixture.caller().use {
                    it.send(request.replace("<smuggled>", SMUGGLED).replace("\n", "\r\n")).readToEnd()
                }
                assertTrue(text.startsWith("HTTP/1.1 400"), text)
                assertContains(text, "Poplarwood-Reason: malformed", ignoreCase = true)
                assertEquals(1, Regex("HTTP/1.1 ").findAll(text).count(), text)
                assertEquals(emptyList(), fixture.upstream.heads)
                assertContains(
                    fixture.metrics.exposition().decodeToString(),
                    "poplarwood_refusals_total{reason=\"malformed\"} 1.0",
                )
            }
        }

        /** Guards against a bare line feed, which only some parsers accept as the end of a header line. */
        @Test
        fun `is refused when lines end in bare line feeds`() {
            ServerFixture(serve = { respondToAll("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") }).use { fixture ->
                val text = fixture.caller().use { it.send("GET / HTTP/1.1\r\nHost: counter\nX: y\r\n\r\n").readToEnd() }
                assertTrue(text.startsWith("HTTP/1.1 400"), text)
                assertEquals(emptyList(), fixture.upstream.heads)
            }
        }

        /** Guards against responses that are lost or mixed up when valid requests precede a malformed one. */
        @Test
        fun `after valid requests is refused once those have their responses`() {
            ServerFixture(serve = {
                while (readHead() != null) {
                    Thread.sleep(50)
                    send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                }
            }).use { fixture ->
                val good = "GET /a HTTP/1.1\r\nHost: counter\r\n\r\n"
                val text = fixture.caller().use { it.send(good + good + "GET /b HTTP/1.1\r\n\r\n").readToEnd() }
                val statuses = Regex("HTTP/1.1 (\\d+)").findAll(text).map { it.groupValues[1] }.toList()
                assertEquals(listOf("200", "200", "400"), statuses, text)
                assertEquals(2, fixture.upstream.heads.size)
            }
        }
    }

    @Nested
    inner class `a head that is too large` {
        private fun refused(head: String) {
            ServerFixture(HttpSettings(maxHeaderBytes = 2000, maxHeaderCount = 20)).use { fixture ->
                val text = fixture.caller().use { it.send(head).readToEnd() }
                assertTrue(text.startsWith("HTTP/1.1 431"), text)
                assertContains(text, "Poplarwood-Reason: headers-too-large", ignoreCase = true)
                assertEquals(emptyList(), fixture.upstream.heads)
            }
        }

        /** Guards against a head of unbounded size. */
        @Test
        fun `is refused by its bytes`() = refused("GET / HTTP/1.1\r\nHost: counter\r\nX: ${"x".repeat(4000)}\r\n\r\n")

        /** Guards against many short header lines, each of which costs more than its bytes. */
        @Test
        fun `is refused by its lines`() =
            refused("GET / HTTP/1.1\r\nHost: counter\r\n" + "A: b\r\n".repeat(30) + "\r\n")

        /** Guards against a request line of unbounded length. */
        @Test
        fun `is refused by its request line`() = refused("GET /${"x".repeat(9000)} HTTP/1.1\r\nHost: counter\r\n\r\n")
    }

    private companion object {
        const val SMUGGLED = "GET /smuggled HTTP/1.1\nHost: counter\n\n"
    }
}
