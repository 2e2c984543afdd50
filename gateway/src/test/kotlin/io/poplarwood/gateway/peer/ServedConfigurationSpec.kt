package io.poplarwood.gateway.peer

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.runtime.FreshnessVerdict
import io.poplarwood.gateway.store.Topic
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Simulates in virtual time under which configuration twelve entries in three zones serve requests with a route, when
 * versions follow each other. A version may be served until the bound (2 s) after the store acknowledged the next one.
 */
class ServedConfigurationSpec {
    private val store = SimulatedStore()
    private val acknowledged = LinkedHashMap<Long, Duration>()

    private fun TestScope.now() = testScheduler.currentTime.milliseconds

    private fun TestScope.put(version: Long) {
        store.put(Topic.DESIRED_STATE, "c", "$version")
        acknowledged[version] = now()
    }

    private fun simulate(seed: Long = 7, body: suspend TestScope.(SimulatedCluster) -> Unit) =
        runTest(timeout = 5.minutes) {
            put(1)
            store.put(Topic.UPSTREAMS, "u1", "ready")
            val ticker = Ticker { testScheduler.currentTime.milliseconds }
            val cluster = SimulatedCluster(backgroundScope, ticker, store, listOf("a", "b", "c"), 4, seed)
            cluster.start()
            delay(12.seconds)
            body(cluster)
            backgroundScope.coroutineContext.cancelChildren()
        }

    private fun serves(entry: SimulatedCluster.Entry) =
        entry.book.state != null && entry.admission.verdict(true) == FreshnessVerdict.SERVE

    /** The entries that serve by a version that was replaced longer ago than the bound, with the excess. */
    private fun TestScope.outdated(
        cluster: SimulatedCluster,
    ) = cluster.entries.filter { !it.ended && serves(it) }.mapNotNull { entry ->
        val inForce = checkNotNull(entry.book.state).version
        val replacedAt = acknowledged.filterKeys { it > inForce }.values.minOrNull()
        val excess = replacedAt?.let { now() - it - SimulatedCluster.CHANGE_BOUND }
        excess?.takeIf { it > Duration.ZERO }?.let { "${entry.name} by $inForce, $it over the bound" }
    }

    private suspend fun TestScope.assertNoneOutdated(cluster: SimulatedCluster, length: Duration = 8.seconds) {
        val until = now() + length
        while (now() < until) {
            assertEquals(emptyList(), outdated(cluster), "at ${now()}")
            delay(STEP)
        }
    }

    /** Time, summed over all entries, for which entries refuse requests that they have a route for. */
    private suspend fun TestScope.refusedTime(cluster: SimulatedCluster, length: Duration): Duration {
        var refused = Duration.ZERO
        repeat((length / STEP).toInt()) {
            refused += STEP * cluster.entries.count { !serves(it) }
            delay(STEP)
        }
        return refused
    }

    @Nested
    inner class `no request is served by a version that was replaced longer ago than the bound` {
        /** Guards against an age that is counted from when news was read, not from when it was sent. */
        @Test
        fun `at an entry whose event loop is busy`() = simulate { cluster ->
            for ((round, late) in listOf(400, 800, 1_200, 1_600, 2_400).withIndex()) {
                cluster.readDelay["b-3"] = late.milliseconds
                delay(6.seconds)
                put(2L + round)
                assertNoneOutdated(cluster)
            }
        }

        /** Guards against entries that hear of a version long after the store acknowledged it. */
        @Test
        fun `when the entries that follow the store stop at the change`() = simulate { cluster ->
            put(2)
            cluster.entries.filter { it.roles.active }.forEach {
                it.end()
                cluster.stopped += it.name
            }
            assertNoneOutdated(cluster)
        }

        /** Guards against an entry that serves by what it found when it started, confirmed by nobody. */
        @Test
        fun `at an entry that starts while a version spreads`() = simulate { cluster ->
            for (version in 2L..6L) {
                store.arrivalTime["c-2"] = 3.seconds
                cluster.withoutReplies += "c-2"
                cluster.restart("c-2", 100.milliseconds * version.toInt())
                cluster.withoutReplies -= "c-2"
                put(version)
                assertNoneOutdated(cluster, 5.seconds)
            }
        }

        /** Guards against an entry that knows of a newer version, cannot fetch it and serves on. */
        @Test
        fun `at an entry that gets no piece of it`() = simulate { cluster ->
            cluster.withoutReplies += "a-4"
            store.arrivalTime["a-4"] = Duration.INFINITE
            put(2)
            assertNoneOutdated(cluster)
        }

        @Test
        fun `while a fifth of the heartbeats are lost`() = simulate { cluster ->
            cluster.loss = 0.2
            for (version in 2L..8L) {
                put(version)
                assertNoneOutdated(cluster, 2_300.milliseconds)
            }
        }
    }

    @Nested
    inner class `requests are not refused in vain` {
        @Test
        fun `while nothing changes`() = simulate { cluster ->
            assertEquals(Duration.ZERO, refusedTime(cluster, 30.seconds))
        }

        @Test
        fun `while versions follow each other`() = simulate { cluster ->
            var refused = Duration.ZERO
            for (version in 2L..12L) {
                put(version)
                refused += refusedTime(cluster, 700.milliseconds)
            }
            assertEquals(Duration.ZERO, refused)
        }

        /** Guards against an installation that stops because the store is away. */
        @Test
        fun `while the store answers none, also to entries that start`() = simulate { cluster ->
            store.downFor += cluster.entries.map { it.name }
            delay(3.seconds)
            assertEquals(Duration.ZERO, refusedTime(cluster, 10.seconds))
            cluster.restart("b-2", 500.milliseconds)
            delay(3.seconds)
            assertEquals(Duration.ZERO, refusedTime(cluster, 10.seconds))
        }

        /** An entry that reaches neither the store nor another entry needs a moment to find out. */
        @Test
        fun `at an entry that reaches nothing but upstreams`() = simulate { cluster ->
            store.downFor += "a-1"
            cluster.isolated += "a-1"
            delay(4.seconds)
            assertEquals(Duration.ZERO, refusedTime(cluster, 10.seconds))
        }
    }

    private companion object {
        val STEP = 20.milliseconds
    }
}
