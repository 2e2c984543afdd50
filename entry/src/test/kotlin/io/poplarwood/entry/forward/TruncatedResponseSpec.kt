package io.poplarwood.entry.forward

import io.poplarwood.decision.routing.AttemptResult
import io.poplarwood.entry.support.RawUpstream
import io.poplarwood.entry.support.ServerFixture
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class TruncatedResponseSpec {
    private val get = "GET / HTTP/1.1\r\nHost: counter\r\n\r\n"

    private fun RawUpstream.Connection.sendTruncated(head: String, body: String) {
        readHead()
        send(head)
        send(body)
        Thread.sleep(50)
    }

    @Nested
    inner class `a response truncated by its upstream` {
        /** Guards against a truncated chunked response that the server engine ends with a final chunk. */
        @Test
        fun `has no final chunk when it is chunked`() {
            ServerFixture(
                serve = { sendTruncated("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n") },
            ).use { fixture ->
                val text = fixture.caller().use { it.send(get).readToEnd() }
                assertTrue(text.startsWith("HTTP/1.1 200"), text)
                assertFalse(text.contains("0\r\n\r\n"), text)
                assertEquals(AttemptResult.CONNECTION_LOST, fixture.evidence().single().result)
            }
        }

        /** Guards against a large response of declared length that is padded, shortened or left open. */
        @Test
        fun `ends before its declared length`() {
            ServerFixture(
                serve = { sendTruncated("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n", "x".repeat(100_000)) },
            ).use { fixture ->
                val text = fixture.caller().use { it.send(get).readToEnd() }
                assertTrue(text.startsWith("HTTP/1.1 200"), text.take(200))
                assertTrue(text.substringAfter("\r\n\r\n").length <= 100_000)
                assertEquals(AttemptResult.CONNECTION_LOST, fixture.evidence().single().result)
            }
        }

        /** Guards against a truncated small response that is passed on, or not retried, before its head was sent. */
        @Test
        fun `is retried before its head reached the caller`() {
            var served = 0
            ServerFixture(attempts = 2, serve = {
                if (served++ == 0) {
                    sendTruncated("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", "hello")
                } else {
                    readHead()
                    send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
                }
            }).use { fixture -> assertEquals("whole", fixture.caller().use { it.send(get).answer() }.body) }
        }

        /** Guards against a second response after the truncated first one. */
        @Test
        fun `is not retried after its head reached the caller`() {
            ServerFixture(attempts = 3, serve = {
                sendTruncated("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n")
            })
                .use { fixture ->
                    val text = fixture.caller().use { it.send(get).readToEnd() }
                    assertEquals(1, Regex("HTTP/1.1 ").findAll(text).count())
                    assertEquals(1, fixture.upstream.heads.size)
                }
        }
    }
}
