package io.poplarwood.entry.forward

import io.poplarwood.entry.support.RawUpstream
import io.poplarwood.entry.support.ServerFixture
import io.poplarwood.entry.support.waitUntil
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class TruncatedUploadSpec {
    /** Sends [parts] as a truncated upload; returns what the upstream received until its connection ended. */
    private fun receivedByUpstream(vararg parts: String, reset: Boolean = false): String {
        var connection: RawUpstream.Connection? = null
        ServerFixture(serve = {
            connection = this
            readToEnd()
        }).use { fixture ->
            val caller = fixture.caller()
            for (part in parts) {
                caller.send(part)
                Thread.sleep(100)
            }
            if (reset) caller.socket.setSoLinger(true, 0)
            caller.close()
            waitUntil("end of the upstream's connection") { connection?.socket?.isClosed ?: true }
        }
        return connection?.receivedText().orEmpty()
    }

    @Nested
    inner class `an upload truncated by its caller` {
        /** Guards against a truncated upload that ends with a final chunk, which marks the upload as complete. */
        @Test
        fun `has no final chunk`() {
            val text =
                receivedByUpstream(
                    "POST /up HTTP/1.1\r\nHost: counter\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
                    "5\r\nwor",
                )
            assertFalse(text.contains("\r\n0\r\n"), text)
        }

        /** Guards against a chunked upload whose framing becomes malformed midway and that then looks complete. */
        @Test
        fun `has no final chunk when its framing becomes malformed`() {
            val text =
                receivedByUpstream(
                    "POST /up HTTP/1.1\r\nHost: counter\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
                    "zz\r\n",
                )
            assertTrue(text.contains("hello"), text)
            assertFalse(text.contains("\r\n0\r\n"), text)
        }

        /** Guards against a truncated upload of declared length that is padded, or whose connection is reused. */
        @Test
        fun `ends before its declared length`() {
            val text =
                receivedByUpstream(
                    "POST /up HTTP/1.1\r\nHost: counter\r\nContent-Length: 200000\r\n\r\n" + "x".repeat(1000),
                    "y".repeat(500),
                )
            assertTrue(text.substringAfter("\r\n\r\n").length <= 1500, text.take(300))
        }

        /** Guards against padding a truncated upload whose caller reset the connection instead of closing it. */
        @Test
        fun `ends before its declared length after a reset`() {
            val head = "POST /up HTTP/1.1\r\nHost: counter\r\nContent-Length: 200000\r\n\r\n"
            val text = receivedByUpstream(head + "x".repeat(1000), reset = true)
            assertTrue(text.substringAfter("\r\n\r\n").length <= 1000)
        }

        /** Guards against a small body that is sent although it is incomplete. */
        @Test
        fun `is not sent when it is small`() {
            assertEquals(
                "",
                receivedByUpstream("POST /up HTTP/1.1\r\nHost: counter\r\nContent-Length: 20\r\n\r\nhello"),
            )
        }
    }
}
