package io.poplarwood.gateway.peer

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.decision.crash.CrashLoss
import io.poplarwood.gateway.decision.crash.CrashVerdict
import io.poplarwood.gateway.store.Topic
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class NewsOfCrashesSpec {
    private val store = SharedStore()

    private fun play(scenario: suspend TestScope.(EntryCell) -> Unit) = runTest {
        store.put(Topic.DESIRED_STATE, "c", "1")
        store.put(Topic.UPSTREAMS, "u1", "ready")
        val cell = EntryCell(backgroundScope, ticker(), store, listOf("a", "b", "c"), PER_ZONE, SEED)
        cell.start()
        delay(5.seconds)
        scenario(cell)
        backgroundScope.coroutineContext.cancelChildren()
    }

    private fun TestScope.ticker() = Ticker { testScheduler.currentTime.milliseconds }

    private fun TestScope.now(): Duration = testScheduler.currentTime.milliseconds

    /** Three upstreams end under request [REQUEST] at [entry], one after the other. */
    private suspend fun TestScope.lose(entry: EntryCell.Entry) = repeat(3) {
        delay(10.milliseconds)
        val loss = CrashLoss(it + 1L, "u$it", now() - 1.milliseconds, now(), confirmed = true)
        entry.crashes.lost(REQUEST, loss, now())
        entry.peers.crashes.tell(REQUEST, loss)
    }

    private fun TestScope.admitting(cell: EntryCell) =
        cell.entries.filter { it.crashes.verdict(REQUEST, now()) != CrashVerdict.REFUSED }.map { it.name }

    /** Guards against entries that never learn what they were told while they did not listen. */
    @Test
    fun `reach every entry in time though none heard them when they were told`() = play { cell ->
        cell.deaf += cell.entries.map { it.name }
        lose(cell.entries.first())
        cell.deaf.clear()
        delay(IN_TOUCH)
        assertEquals(emptyList(), admitting(cell))
    }

    /** Guards against news that only those who take callers hear, by an entry that takes none. */
    @Test
    fun `reach every entry in time from one that takes no callers, on a path that loses datagrams`() = play { cell ->
        cell.loss = 0.1
        lose(cell.entries.last { !it.roles.active })
        delay(IN_TOUCH)
        assertEquals(emptyList(), admitting(cell))
    }

    /** Guards against a request that stays refused at entries that did not see it answered. */
    @Test
    fun `are taken back everywhere by an answer that one entry saw`() = play { cell ->
        lose(cell.entries.first())
        delay(IN_TOUCH)
        cell.entries[2].crashes.answered(REQUEST, now())
        delay(IN_TOUCH)
        assertEquals(cell.entries.map { it.name }, admitting(cell))
    }

    /** Guards against entries that go on telling each other what both know. */
    @Test
    fun `are not told again once everyone knows`() = play { cell ->
        lose(cell.entries.first())
        delay(IN_TOUCH)
        val before = cell.datagrams - cell.greetings
        delay(IN_TOUCH)
        assertEquals(before, cell.datagrams - cell.greetings)
    }

    private companion object {
        const val PER_ZONE = 6
        const val SEED = 4L
        const val REQUEST = 7L

        /** An entry counts as in touch after this long. */
        val IN_TOUCH = 3.seconds
    }
}
