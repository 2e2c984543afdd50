package io.poplarwood.entry.node

import io.poplarwood.entry.support.Cell
import io.poplarwood.entry.support.RawCaller
import io.poplarwood.standins.platform.PlatformFaults
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.TestInstance
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class IdempotencyKeysSpec {
    private val cell = Cell()

    @BeforeAll
    fun start() = runBlocking {
        repeat(2) { cell.upstream() }
        repeat(3) { cell.entry() }
        cell.ready()
        cell.configure()
        while (cell.entries.any { post(it, "warm-${it.callersAddress}").status != 200 }) delay(50.milliseconds)
    }

    @AfterAll
    fun stop() = runBlocking { cell.close() }

    @Nested
    inner class `a key issued by an entry` {
        /** Guards against an order that runs twice when its caller resends it through another entry. */
        @Test
        fun `runs once and returns the same answer through every entry`() {
            val key = prefixOf(cell.entries[0]) + "order-1"
            val answers = cell.entries.map { post(it, key) }
            assertTrue(answers.all { it.status == 200 }, answers.map { it.head + it.body }.toString())
            assertEquals(1, answers.map { it.body }.distinct().size)
            assertEquals(1, runsOf(key))
        }

        /** Guards against running a request at another entry when the owner of its key may have run it. */
        @Test
        fun `is answered unknown once its owner has been removed`() {
            val foreign = prefixOf(cell.entries[0]).replaceBefore('.', "entry-9") + "order-2"
            val answer = post(cell.entries[1], foreign)
            assertEquals("unknown", answer.header("Poplarwood-Outcome"))
            assertEquals("key-owner-gone", answer.header("Poplarwood-Reason"))
            assertEquals(0, runsOf(foreign))
        }
    }

    @Nested
    inner class `a caller's own key` {
        /** Guards against two entries that both treat a resent request as new. */
        @Test
        fun `runs once whichever entry receives it`() {
            val answers = cell.entries.map { post(it, "own-key-1") }
            assertTrue(answers.all { it.status == 200 }, answers.map { it.head + it.body }.toString())
            assertEquals(1, runsOf("own-key-1"))
        }

        /** Guards against a run without a claim while the store cannot say which entry holds the claim. */
        @Test
        fun `does not run while the store is down`() {
            cell.platform.faults = PlatformFaults(down = true)
            try {
                val answer = post(cell.entries[2], "own-key-2")
                assertEquals("not-run", answer.header("Poplarwood-Outcome"), answer.head)
                assertEquals("claim-unavailable", answer.header("Poplarwood-Reason"))
                assertEquals(0, runsOf("own-key-2"))
            } finally {
                cell.platform.faults = PlatformFaults()
            }
        }
    }

    private fun runsOf(key: String): Int = cell.upstreams.sumOf { it.runs()[key] ?: 0 }

    private fun prefixOf(entry: EntryNode): String {
        val body = caller(entry).use {
            it.send("GET /poplarwood/entries?service=counter HTTP/1.1\r\nHost: counter\r\n\r\n").answer().body
        }
        val id = "entry-${cell.entries.indexOf(entry)}."
        return Regex("\"keyPrefix\":\"([^\"]+)\"").findAll(body).map { it.groupValues[1] }.first { it.startsWith(id) }
    }

    private fun post(entry: EntryNode, key: String): RawCaller.Answer = caller(entry).use {
        val head = "POST /orders HTTP/1.1\r\nHost: counter\r\nIdempotency-Key: $key\r\nContent-Length: 5\r\n\r\n"
        it.send(head + "drums").answer()
    }

    private fun caller(entry: EntryNode) = RawCaller(entry.callersAddress.substringAfter(':').toInt())
}
