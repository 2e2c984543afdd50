package io.poplarwood.entry.http

import io.poplarwood.entry.support.ServerFixture
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import java.net.ConnectException
import java.util.concurrent.CompletableFuture
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class DrainSpec {
    private val upload = "POST /up HTTP/1.1\r\nHost: counter\r\nContent-Length: 100000\r\n\r\n"

    private fun ServerFixture.drainAsync(limit: Duration, advertisedFor: Duration = Duration.ZERO) =
        CompletableFuture.supplyAsync { runBlocking { server.drain(limit, advertisedFor) } }

    private fun uploadFixture() =
        ServerFixture(serve = {
            while (readHead() != null) {
                if (skipBytes(100_000)) send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            }
        })

    @Nested
    inner class `a graceful shutdown` {
        /** Guards against a shutdown that interrupts an upload, or closes the listener while requests are in flight. */
        @Test
        fun `waits for uploads and keeps serving meanwhile`() {
            uploadFixture().use { fixture ->
                val caller = fixture.caller().send(upload + "x".repeat(1000))
                Thread.sleep(200)
                val drained = fixture.drainAsync(10.seconds)
                Thread.sleep(200)
                assertFalse(drained.isDone)
                val second = fixture.caller().use { it.send(upload + "x".repeat(100_000)).answer() }
                assertEquals(200, second.status)
                assertEquals("close", second.header("Connection")?.lowercase())
                val answer = caller.send("x".repeat(99_000)).answer()
                assertEquals("ok", answer.body)
                assertEquals("close", answer.header("Connection")?.lowercase())
                assertTrue(drained.get())
                assertFailsWith<ConnectException> { fixture.caller() }
            }
        }

        /** Guards against a shutdown that completes while directory replies may still list the entry. */
        @Test
        fun `keeps serving while the entry may be advertised`() {
            uploadFixture().use { fixture ->
                val drained = fixture.drainAsync(10.seconds, advertisedFor = 500.milliseconds)
                Thread.sleep(200)
                assertEquals(200, fixture.caller().use { it.send(upload + "x".repeat(100_000)).answer() }.status)
                assertTrue(drained.get())
            }
        }

        /** Guards against a shutdown that never completes. */
        @Test
        fun `gives up at its time limit`() {
            uploadFixture().use { fixture ->
                val caller = fixture.caller().send(upload + "x".repeat(1000))
                Thread.sleep(200)
                assertFalse(fixture.drainAsync(300.milliseconds).get())
                caller.close()
            }
        }
    }

    @Nested
    inner class `a warm-up` {
        /** Guards against a warm-up that sends no requests, or a warm-up service that callers can reach. */
        @Test
        fun `responds to its own requests only`() {
            ServerFixture().use { fixture ->
                assertTrue(runBlocking { fixture.server.warmUp(3.seconds) } > 100)
                val answer =
                    fixture.caller().use {
                        it.send(
                            "GET / HTTP/1.1\r\nHost: warm\r\nPoplarwood-Warm-Up: x\r\nPoplarwood-Depth: 1\r\n\r\n",
                        ).answer()
                    }
                assertEquals(404, answer.status)
            }
        }
    }
}
