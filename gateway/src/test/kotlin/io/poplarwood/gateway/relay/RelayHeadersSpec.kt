package io.poplarwood.gateway.relay

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** What entries pass on to each other with a request. */
class RelayHeadersSpec {
    private fun headersOf(hop: Hop): HttpHeaders = DefaultHttpHeaders().apply {
        set("accept", "text/plain")
        RelayHeaders.of(hop).forEach { (name, values) -> set(name, values) }
    }

    @Nested
    inner class `a hop` {
        /** Guards against helpers that use an upstream that has the request. */
        @Test
        fun `arrives with the upstreams that have the request`() {
            val hop = Hop(-5, 2, setOf("u-1", "u, 2"))
            assertEquals(hop, RelayHeaders.take(headersOf(hop)))
            assertEquals(Hop(7, 1), RelayHeaders.take(headersOf(Hop(7, 1))))
        }

        /** Guards against headers between entries that reach upstreams. */
        @Test
        fun `leaves only the headers of the caller`() {
            val headers = headersOf(Hop(1, 2, setOf("u-1", "u-2")))
            RelayHeaders.take(headers)
            assertEquals(setOf("accept"), headers.names())
        }

        /** Guards against helpers of the build before that refuse a request, or pass the ids on to upstreams. */
        @Test
        fun `is read and removed by a build that knows of no upstreams`() {
            val headers = headersOf(Hop(1, 2, setOf("u-1", "u-2")))
            assertEquals(2, headers["relay-attempts-left"]?.toIntOrNull())
            assertEquals("1", headers["relay-fingerprint"])
            headers.remove("relay-attempts-left")
            headers.remove("relay-fingerprint")
            assertEquals(setOf("accept"), headers.names())
        }

        @Test
        fun `is not taken without a number of attempts`() {
            assertNull(RelayHeaders.take(DefaultHttpHeaders().set("relay-fingerprint", "1")))
        }

        /** Guards against heads that a helper does not accept. */
        @Test
        fun `is not passed on when the upstreams take too much room`() {
            assertTrue(RelayHeaders.canCarry(Hop(1, 2, List(4) { "u$it".padEnd(256, 'x') }.toSet())))
            assertFalse(RelayHeaders.canCarry(Hop(1, 2, List(5) { "u$it".padEnd(256, 'x') }.toSet())))
        }
    }
}
