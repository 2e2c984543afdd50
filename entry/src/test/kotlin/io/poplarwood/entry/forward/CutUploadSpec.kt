package io.poplarwood.entry.forward

import io.poplarwood.entry.support.RawUpstream
import io.poplarwood.entry.support.ServerFixture
import io.poplarwood.entry.support.waitUntil
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class CutUploadSpec {
    /** What the upstream saw of an upload that [send] cut, after its connection ended. */
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
    inner class `an upload cut by its caller` {
        /** Guards against a cut upload that the upstream takes for whole because it got a final chunk. */
        @Test
        fun `never gets a final chunk`() {
            val text =
                receivedByUpstream(
                    "POST /up HTTP/1.1\r\nHost: counter\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
                    "5\r\nwor",
                )
            assertFalse(text.contains("\r\n0\r\n"), text)
        }

        /** Guards against a chunked upload whose framing breaks in its middle and that then looks whole. */
        @Test
        fun `never gets a final chunk when its framing breaks`() {
            val text =
                receivedByUpstream(
                    "POST /up HTTP/1.1\r\nHost: counter\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
                    "zz\r\n",
                )
            assertTrue(text.contains("hello"), text)
            assertFalse(text.contains("\r\n0\r\n"), text)
        }

        /** Guards against a cut upload with a declared length that is padded, or whose connection is used again. */
        @Test
        fun `ends short of its length`() {
            val text =
                receivedByUpstream(
                    "POST /up HTTP/1.1\r\nHost: counter\r\nContent-Length: 200000\r\n\r\n" + "x".repeat(1000),
                    "y".repeat(500),
                )
            assertTrue(text.substringAfter("\r\n\r\n").length <= 1500, text.take(300))
        }

        /** Guards against the same after a reset in place of an end. */
        @Test
        fun `ends short of its length after a reset`() {
            val head = "POST /up HTTP/1.1\r\nHost: counter\r\nContent-Length: 200000\r\n\r\n"
            val text = receivedByUpstream(head + "x".repeat(1000), reset = true)
            assertTrue(text.substringAfter("\r\n\r\n").length <= 1000)
        }

        /** Guards against a small body that is sent although it is incomplete. */
        @Test
        fun `is never sent when it is small`() {
            assertEquals(
                "",
                receivedByUpstream("POST /up HTTP/1.1\r\nHost: counter\r\nContent-Length: 20\r\n\r\nhello"),
            )
        }
    }
}
