package io.poplarwood.gateway.peer

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.store.Topic
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Plays the knowledge of installations of many entries in virtual time. */
class ManyEntriesSpec {
    private val store = SharedStore()

    private fun TestScope.cell(perZone: Int): EntryCell {
        store.put(Topic.DESIRED_STATE, "c", "1")
        for (id in listOf("u1", "u2", "u3")) store.put(Topic.UPSTREAMS, id, "ready")
        val ticker = Ticker { testScheduler.currentTime.milliseconds }
        return EntryCell(backgroundScope, ticker, store, listOf("a", "b", "c", "d", "e"), perZone, SEED)
    }

    private fun play(perZone: Int, act: suspend TestScope.(EntryCell) -> Unit) = runTest(timeout = 5.minutes) {
        val cell = cell(perZone)
        cell.start()
        delay(SETTLED)
        act(cell)
        backgroundScope.coroutineContext.cancelChildren()
    }

    private suspend fun TestScope.timeUntil(reached: () -> Boolean): Duration {
        val from = testScheduler.currentTime
        while (!reached() && testScheduler.currentTime - from < LONGEST_MS) delay(STEP)
        return (testScheduler.currentTime - from).milliseconds
    }

    private fun EntryCell.active(zone: String) =
        entries.filter { it.zone == zone && it.name !in dead && it.roles.active }.map { it.name }

    private fun EntryCell.living() = entries.filter { it.name !in dead }

    @Nested
    inner class Greetings {
        private fun perEntryAndSecond(perZone: Int): Double {
            var rate = 0.0
            play(perZone) { cell ->
                val before = cell.greetings
                delay(10.seconds)
                rate = (cell.greetings - before) / 10.0 / cell.entries.size
            }
            return rate
        }

        /** Guards against what entries say to each other growing with the square of their number. */
        @Test
        fun `of an entry stay as many at ten times the entries`() {
            val few = perEntryAndSecond(perZone = 20)
            val many = perEntryAndSecond(perZone = 200)
            assertTrue(many <= few * MOST_GROWTH, "$few a second at 100 entries, $many at 1,000")
        }
    }

    @Nested
    inner class Zones {
        /** Guards against standbys that take callers, and against zones without any entry that does. */
        @Test
        fun `have few entries that take callers, and all agree on them`() = play(perZone = 30) { cell ->
            for (zone in listOf("a", "b", "c", "d", "e")) {
                val chosen = cell.active(zone).toSet()
                assertEquals(ActiveChoice.FEWEST, chosen.size, "$zone has $chosen")
                cell.entries.filter {
                    it.zone == zone
                }.forEach { assertEquals(chosen, it.roles.chosen.toSet(), it.name) }
            }
        }

        @Test
        fun `get others in time when all that take their callers are lost at once`() = play(perZone = 30) { cell ->
            cell.dead += cell.active("a")
            val took = timeUntil { cell.active("a").size == ActiveChoice.FEWEST }
            assertTrue(took < FAILOVER_BOUND, "took $took, ${cell.active("a")}")
        }

        @Test
        fun `widen their set of entries for a burst before its first entries are full for long`() =
            play(perZone = 30) { cell ->
                cell.entries.filter { it.name in cell.active("a") }.forEach { it.rate = 200 }
                val took = timeUntil { cell.active("a").size >= 5 }
                assertTrue(took < 1.seconds, "took $took, ${cell.active("a")}")
            }
    }

    @Nested
    inner class News {
        /** Guards against work for an upstream that left while news of it is lost, or the entries that relay it are. */
        @Test
        fun `of a leaving upstream reach all in time with losses and lost entries`() = play(perZone = 60) { cell ->
            cell.loss = 0.025
            cell.dead += listOf(cell.active("b").first(), cell.active("c").first())
            store.silentTo += cell.entries.filterIndexed { i, _ -> i % 3 == 0 }.map { it.name }
            delay(300.milliseconds)
            store.put(Topic.UPSTREAMS, "u1", "draining")
            val took = timeUntil { cell.living().none { it.uses("u1") } }
            store.silentTo.clear()
            assertTrue(took < LEAVING_BOUND, "took $took")
        }

        @Test
        fun `of a new desired state reach all in time`() = play(perZone = 60) { cell ->
            cell.loss = 0.025
            store.put(Topic.DESIRED_STATE, "c", "2")
            val took = timeUntil { cell.living().all { it.book.state?.version == 2L } }
            assertTrue(took < LEAVING_BOUND, "took $took")
        }
    }

    @Nested
    inner class Store {
        /** Guards against an outage in which every entry asks the store again and again. */
        @Test
        fun `is asked no more often than a few times a second by all entries while it is away`() =
            play(perZone = 30) { cell ->
                store.silentTo += cell.entries.map { it.name }
                delay(1.seconds)
                val before = store.calls.values.sum()
                delay(8.seconds)
                val perS = (store.calls.values.sum() - before) / 8.0
                store.silentTo.clear()
                assertTrue(perS < MOST_CALLS_PER_S, "$perS calls a second")
            }
    }

    private companion object {
        const val SEED = 7L
        const val LONGEST_MS = 20_000
        val SETTLED = 8.seconds
        val STEP = 10.milliseconds

        /** Growth of the messages of an entry from 100 to 1,000 entries. */
        const val MOST_GROWTH = 1.5

        /** Callers keep an answer of the directory for two seconds. */
        val FAILOVER_BOUND = 2.5.seconds

        /** Work may reach an upstream for this long after it has said that it leaves. */
        val LEAVING_BOUND = 2.seconds
        const val MOST_CALLS_PER_S = 60.0
    }
}
