package io.poplarwood.entry.node

import io.poplarwood.entry.support.Cell
import io.poplarwood.entry.support.RawCaller
import io.poplarwood.fleet.config.ChangeResult
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

internal class EntryNodeSpec {
    @Nested
    inner class `a cell of three entries` {
        /** Guards against directory, configuration, upstream list and data path that work alone but not together. */
        @Test
        fun `serves a caller through every entry that the directory lists`() = runBlocking {
            val cell = Cell()
            try {
                repeat(2) { cell.upstream() }
                repeat(3) { cell.entry() }
                cell.ready()
                assertIs<ChangeResult.Accepted>(cell.configure())
                val port = cell.entries[1].callersAddress.substringAfter(':').toInt()
                val advertisedEntries = advertisedEntries(port)
                assertEquals(3, advertisedEntries.size)
                for (address in advertisedEntries) {
                    val answer = get(address.substringAfter(':').toInt(), "/stock")
                    assertEquals(200, answer.status, answer.head + answer.body)
                    assertTrue("\"path\":\"/stock\"" in answer.body, answer.body)
                }
            } finally {
                cell.close()
            }
        }
    }

    private suspend fun advertisedEntries(port: Int): List<String> {
        repeat(100) {
            val body = get(port, "/poplarwood/entries?service=counter&zone=zone-1").body
            val found = ADDRESS.findAll(body).map { it.groupValues[1] }.toList()
            if (found.size == 3) return found
            delay(50.milliseconds)
        }
        return emptyList()
    }

    private fun get(port: Int, path: String): RawCaller.Answer = RawCaller(port).use {
        it.send("GET $path HTTP/1.1\r\nHost: counter\r\n\r\n").answer()
    }

    private companion object {
        val ADDRESS = Regex("\"address\":\"([^\"]+)\"")
    }
}
