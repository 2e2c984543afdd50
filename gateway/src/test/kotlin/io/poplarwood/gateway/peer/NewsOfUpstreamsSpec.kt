package io.poplarwood.gateway.peer

import io.poplarwood.api.random.SplitMix
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.store.Topic
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class NewsOfUpstreamsSpec {
    private val store = SharedStore()

    private fun TestScope.cell(seed: Long): EntryCell {
        store.put(Topic.DESIRED_STATE, "c", "1")
        for (id in listOf("u1", "u2", "u3")) store.put(Topic.UPSTREAMS, id, "ready")
        val ticker = Ticker { testScheduler.currentTime.milliseconds }
        return EntryCell(backgroundScope, ticker, store, listOf("a", "b", "c"), PER_ZONE, seed).also { it.start() }
    }

    /** Time until none of [of] uses [upstream] any more. */
    private suspend fun TestScope.untilUnused(of: List<EntryCell.Entry>, upstream: String): Duration {
        val from = testScheduler.currentTime
        while (of.any { it.uses(upstream) } && testScheduler.currentTime - from < LONGEST_MS) delay(STEP)
        return (testScheduler.currentTime - from).milliseconds
    }

    private fun worst(seeds: LongRange, play: suspend TestScope.(EntryCell, SplitMix) -> Duration): Duration {
        var worst = Duration.ZERO
        for (seed in seeds) {
            runTest {
                val random = SplitMix(seed)
                val cell = cell(seed)
                delay(5.seconds + (random.nextDouble() * 2_000).milliseconds)
                worst = maxOf(worst, play(cell, random))
                backgroundScope.coroutineContext.cancelChildren()
            }
        }
        return worst
    }

    /** Guards against work for an upstream that left while the store is silent to just the entries that follow it. */
    @Test
    fun `reach every entry in time when the store becomes silent to those that follow it`() {
        val worst = worst(1L..30L) { cell, random ->
            store.silentTo += listOf("a-1", "b-1", "c-1", "c-2")
            delay((random.nextDouble() * 1_500).milliseconds)
            store.put(Topic.UPSTREAMS, "u1", "draining")
            untilUnused(cell.entries.filter { it.name !in store.silentTo }, "u1").also { store.silentTo.clear() }
        }
        assertTrue(worst < LEAVING_BOUND, "took $worst")
    }

    /** Guards against news that wait for the next greeting because the store's version moved on for other reasons. */
    @Test
    fun `reach every entry at once though the store's version grew for other reasons`() {
        val worst = worst(1L..20L) { cell, _ ->
            repeat(9) { store.pass() }
            delay(3.seconds)
            store.put(Topic.UPSTREAMS, "u1", "draining")
            untilUnused(cell.entries, "u1")
        }
        assertTrue(worst < 50.milliseconds, "took $worst")
    }

    /** Guards against entries that stay behind because a datagram was lost. */
    @Test
    fun `reach an entry that missed them in time`() {
        val worst = worst(1L..20L) { cell, _ ->
            cell.deaf += "b-2"
            store.put(Topic.UPSTREAMS, "u1", "draining")
            delay(20.milliseconds)
            cell.deaf.clear()
            untilUnused(cell.entries, "u1")
        }
        assertTrue(worst < LEAVING_BOUND, "took $worst")
    }

    /** Guards against a removal that just one entry finds, by a whole read, and that the others never hear of. */
    @Test
    fun `reach every entry when the store has forgotten the change and answers few`() {
        val worst = worst(1L..20L) { cell, _ ->
            val all = cell.entries.map { it.name }
            store.silentTo += all
            store.put(Topic.UPSTREAMS, "u1", null)
            store.forget()
            delay(3.seconds)
            store.silentTo -= listOf("a-1", "b-1")
            untilUnused(cell.entries, "u1").also { store.silentTo.clear() }
        }
        assertTrue(worst < LEAVING_BOUND, "took $worst")
    }

    /** Guards against a mark of leaving that entries miss, or that an old registration undoes. */
    @Test
    fun `of a mark of leaving reach those that take callers though a datagram was lost`() {
        val worst = worst(1L..20L) { cell, _ ->
            cell.deaf += cell.entries.map { it.name }
            val finder = cell.entries.first { it.roles.active }
            finder.upstreams.markLeaving("u1", 1, testScheduler.currentTime.milliseconds)
            delay(20.milliseconds)
            cell.deaf.clear()
            store.put(Topic.UPSTREAMS, "u1", "ready")
            untilUnused(cell.entries.filter { it.roles.active }, "u1")
        }
        assertTrue(worst < LEAVING_BOUND, "took $worst")
    }

    /** Guards against entries that count as cut off from the store for good after one outage. */
    @Test
    fun `go on after an outage, when every entry can follow the store again`() = runTest {
        val cell = cell(1)
        delay(5.seconds)
        store.silentTo += cell.entries.map { it.name }
        delay(4.seconds)
        store.silentTo.clear()
        delay(5.seconds)
        assertEquals(emptyList(), cell.entries.filter { !it.peers.storeAnswers }.map { it.name })
        backgroundScope.coroutineContext.cancelChildren()
    }

    private companion object {
        const val PER_ZONE = 4
        const val LONGEST_MS = 10_000
        val STEP = 2.milliseconds

        /** Work may reach an upstream for this long after it has said that it leaves. */
        val LEAVING_BOUND = 2.seconds
    }
}
