package io.poplarwood.gateway.peer

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.store.Topic
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Entries that follow the store over links that are slow or stop carrying bytes, in virtual time. */
class SlowFollowersSpec {
    private val store = SimulatedStore()

    /** Longest time until all entries have a new desired state, over the seeds, while [arrivalTime] holds for some. */
    private fun worstTime(perZone: Int, arrivalTime: Duration, affected: (List<String>) -> List<String>): Duration =
        SEEDS.maxOf { time(perZone, it, arrivalTime, affected) }

    private fun time(
        perZone: Int,
        seed: Long,
        arrivalTime: Duration,
        affected: (List<String>) -> List<String>,
    ): Duration {
        var elapsed = Duration.ZERO
        var calls = 0
        var mostOfOne = 0
        store.arrivalTime.clear()
        runTest(timeout = 5.minutes) {
            store.put(Topic.DESIRED_STATE, "c", "1")
            store.put(Topic.UPSTREAMS, "u1", "ready")
            val ticker = Ticker { testScheduler.currentTime.milliseconds }
            val cluster = SimulatedCluster(backgroundScope, ticker, store, ZONES, perZone, seed)
            cluster.start()
            delay(STARTUP_TIME + (seed * 70).milliseconds)
            val slow = affected(cluster.entries.filter { it.roles.active }.map { it.name }.sorted())
            for (name in slow) store.arrivalTime[name] = arrivalTime
            store.put(Topic.DESIRED_STATE, "c", "2")
            val from = testScheduler.currentTime
            store.calls.clear()
            while (cluster.entries.any { it.book.state?.version != 2L } &&
                testScheduler.currentTime - from < MAX_WAIT_MS
            ) {
                delay(STEP)
            }
            calls = store.calls.values.sum()
            mostOfOne = store.calls.values.maxOrNull() ?: 0
            elapsed = (testScheduler.currentTime - from).milliseconds
            backgroundScope.coroutineContext.cancelChildren()
        }
        assertFewCalls(calls, mostOfOne, perZone * ZONES.size, elapsed)
        return elapsed
    }

    private fun assertFewCalls(calls: Int, mostOfOne: Int, entries: Int, elapsed: Duration) {
        val seconds = elapsed.toDouble(DurationUnit.SECONDS)
        val allowedOfOne = MAX_CALLS_PER_ENTRY_AND_S * seconds + TOPICS
        assertTrue(mostOfOne <= allowedOfOne, "$mostOfOne calls of one entry in $elapsed, $allowedOfOne allowed")
        // The first answer informs all entries, so many of them make at most one call each on average.
        val allowedOfAll = minOf(MAX_CALLS_PER_S * seconds, maxOf(entries.toDouble(), allowedOfOne * ACTIVE_ENTRIES))
        assertTrue(calls <= allowedOfAll, "$calls calls to the store in $elapsed, $allowedOfAll allowed")
    }

    private fun firstOfEachZone(names: List<String>) = names.groupBy {
        it.substringBefore('-')
    }.values.map { it.first() }

    @Nested
    inner class `a new desired state` {
        /** Guards against entries that all wait for the slow links of the two that follow the store. */
        @Test
        fun `reaches all in time when the links of the first followers are slow`() {
            val worst = worstTime(perZone = 12, arrivalTime = 4.seconds, ::firstOfEachZone)
            assertTrue(worst < BOUND, "took $worst")
        }

        /** Guards against entries that all wait for followers whose connections stop in the middle of an answer. */
        @Test
        fun `reaches all in time when the answers to the first followers stall`() {
            val worst = worstTime(perZone = 12, arrivalTime = Duration.INFINITE, ::firstOfEachZone)
            assertTrue(worst < BOUND, "took $worst")
        }
    }

    @Nested
    inner class `when no entry that takes callers has a sound link, a new desired state` {
        private fun firstTwoOfEachZone(names: List<String>) =
            names.groupBy { it.substringBefore('-') }.values.flatMap { it.take(2) }

        /** Guards against sound entries that wait to query the store for a time that grows with their number. */
        @Test
        fun `reaches all of many entries in time by the queries of the others`() {
            val slow = worstTime(perZone = 34, arrivalTime = 4.seconds, ::firstTwoOfEachZone)
            assertTrue(slow < BOUND, "took $slow")
            val stalled = worstTime(perZone = 34, arrivalTime = Duration.INFINITE, ::firstTwoOfEachZone)
            assertTrue(stalled < BOUND, "took $stalled")
        }

        @Test
        fun `reaches all of twelve entries in time by the queries of the others`() {
            val slow = worstTime(perZone = 3, arrivalTime = 4.seconds, ::firstTwoOfEachZone)
            assertTrue(slow < BOUND, "took $slow")
            val stalled = worstTime(perZone = 3, arrivalTime = Duration.INFINITE, ::firstTwoOfEachZone)
            assertTrue(stalled < BOUND, "took $stalled")
        }
    }

    private companion object {
        val ZONES = listOf("a", "b", "c", "d")
        val SEEDS = 1L..10L
        const val MAX_WAIT_MS = 20_000
        val STARTUP_TIME = 8.seconds
        val STEP = 10.milliseconds

        /** Each of two topics is queried again when it was not confirmed for 0.5 s. */
        const val TOPICS = 2
        const val MAX_CALLS_PER_ENTRY_AND_S = TOPICS / 0.5

        /** Two entries of each zone take callers; only these follow the store at first. */
        val ACTIVE_ENTRIES = 2 * ZONES.size

        /** 5% of the 6,000 read calls per second that the simulated store allows. */
        const val MAX_CALLS_PER_S = 300.0

        /** Time within which a new desired state has to be in force. */
        val BOUND = 2.5.seconds
    }
}
