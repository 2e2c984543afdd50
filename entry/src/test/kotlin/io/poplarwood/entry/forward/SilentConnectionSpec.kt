package io.poplarwood.entry.forward

import io.poplarwood.decision.routing.AttemptResult
import io.poplarwood.entry.support.BlackholingRelay
import io.poplarwood.entry.support.RawCaller
import io.poplarwood.entry.support.RawUpstream
import io.poplarwood.entry.support.ServerFixture
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class SilentConnectionSpec {
    private val get = "GET / HTTP/1.1\r\nHost: counter\r\n\r\n"
    private val slowGet = "GET /slow HTTP/1.1\r\nHost: counter\r\n\r\n"
    private val post = "POST / HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n"
    private val lostPost = "POST ${BlackholingRelay.LOST_PATH} HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n"

    /** Runs [test] with an upstream that takes 250 ms for `/slow` and answers all other requests at once. */
    private fun behindRelay(test: (ServerFixture, BlackholingRelay, RawUpstream) -> Unit) {
        RawUpstream {
            while (true) {
                val head = readHead() ?: break
                if (head.contains("/slow")) Thread.sleep(250)
                send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            }
        }.use { upstream ->
            BlackholingRelay(upstream.address).use { relay ->
                ServerFixture(attempts = 2, upstreamAddress = relay.address).use { fixture ->
                    repeat(10) { fixture.caller().use { it.send(get).answer() } }
                    repeat(10) { fixture.caller().use { it.send(post).answer() } }
                    test(fixture, relay, upstream)
                }
            }
        }
    }

    private fun timedExchange(caller: RawCaller, request: String): Pair<RawCaller.Answer, Long> {
        val from = System.nanoTime()
        val answer = caller.send(request).answer()
        return answer to (System.nanoTime() - from) / 1_000_000
    }

    @Nested
    inner class `a connection that went silent` {
        /** Guards against waiting until the deadline on a connection that was dropped silently on its path. */
        @Test
        fun `is replaced within two seconds and an idempotent request retried`() =
            behindRelay { fixture, relay, _ ->
                relay.blackhole()
                val (answer, elapsedMs) = fixture.caller().use { timedExchange(it, get) }
                assertEquals("ok", answer.body)
                assertTrue(elapsedMs <= 2_000, "took $elapsedMs ms")
                assertEquals(
                    listOf(AttemptResult.CONNECTION_SILENT, AttemptResult.ANSWERED),
                    fixture.evidence(22).takeLast(2).map { it.result },
                )
            }

        /** Guards against a detection that leaves no time for the work of the retried request. */
        @Test
        fun `is replaced within two seconds and an idempotent request that takes 250 ms retried`() =
            behindRelay { fixture, relay, _ ->
                relay.blackhole()
                val (answer, elapsedMs) = fixture.caller().use { timedExchange(it, slowGet) }
                assertEquals("ok", answer.body)
                assertTrue(elapsedMs <= 2_000, "took $elapsedMs ms")
            }

        /** Guards against retrying a non-idempotent request that may have run on the silent connection. */
        @Test
        fun `gives a non-idempotent request the outcome unknown`() =
            behindRelay { fixture, _, upstream ->
                val before = upstream.heads.count { it.startsWith("POST") }
                val (answer, elapsedMs) = fixture.caller().use { timedExchange(it, lostPost) }
                assertEquals("unknown", answer.header("Poplarwood-Outcome"))
                assertEquals("connection-silent", answer.header("Poplarwood-Reason"))
                assertTrue(elapsedMs <= 2_000, "took $elapsedMs ms")
                assertEquals(AttemptResult.CONNECTION_SILENT, fixture.evidence(21).last().result)
                assertEquals(before + 1, upstream.heads.count { it.startsWith("POST") })
            }

        /** Guards against a non-idempotent request on a connection idle long enough to have been dropped silently. */
        @Test
        fun `is not used for a non-idempotent request after one second of idleness`() =
            behindRelay { fixture, relay, _ ->
                relay.blackhole()
                Thread.sleep(1_100)
                val (answer, elapsedMs) = fixture.caller().use { timedExchange(it, post) }
                assertEquals("ok", answer.body)
                assertTrue(elapsedMs < 1_000, "took $elapsedMs ms")
            }
    }

    @Nested
    inner class `a slow request` {
        /** Guards against treating a slow request as a silent connection. */
        @Test
        fun `keeps its connection when its class is known to be slow`() {
            ServerFixture(serve = {
                while (true) {
                    val head = readHead() ?: break
                    if (!head.contains("/health")) Thread.sleep(if (head.contains("/slow")) 2_300 else 600)
                    send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                }
            }).use { fixture ->
                fixture.caller().use { caller ->
                    repeat(2) { caller.send(get).answer() }
                    assertEquals("ok", caller.send(slowGet).answer().body)
                }
            }
        }
    }
}
