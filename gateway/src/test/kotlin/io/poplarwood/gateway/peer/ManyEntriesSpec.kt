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

/** Simulates the exchange of state in installations of many entries, in virtual time. */
class ManyEntriesSpec {
    private val store = SimulatedStore()

    private fun TestScope.cluster(perZone: Int): SimulatedCluster {
        store.put(Topic.DESIRED_STATE, "c", "1")
        for (id in listOf("u1", "u2", "u3")) store.put(Topic.UPSTREAMS, id, "ready")
        val ticker = Ticker { testScheduler.currentTime.milliseconds }
        return SimulatedCluster(backgroundScope, ticker, store, listOf("a", "b", "c", "d", "e"), perZone, SEED)
    }

    private fun simulate(perZone: Int, body: suspend TestScope.(SimulatedCluster) -> Unit) = runTest(
        timeout = 5.minutes,
    ) {
        val cluster = cluster(perZone)
        cluster.start()
        delay(STARTUP_TIME)
        body(cluster)
        backgroundScope.coroutineContext.cancelChildren()
    }

    private suspend fun TestScope.timeUntil(reached: () -> Boolean): Duration {
        val from = testScheduler.currentTime
        while (!reached() && testScheduler.currentTime - from < MAX_WAIT_MS) delay(STEP)
        return (testScheduler.currentTime - from).milliseconds
    }

    private fun SimulatedCluster.active(zone: String) =
        entries.filter { it.zone == zone && it.name !in stopped && it.roles.active }.map { it.name }

    private fun SimulatedCluster.running() = entries.filter { it.name !in stopped }

    @Nested
    inner class Heartbeats {
        private fun heartbeatsPerEntryAndSecond(perZone: Int): Double {
            var rate = 0.0
            simulate(perZone) { cluster ->
                val before = cluster.heartbeats
                delay(10.seconds)
                rate = (cluster.heartbeats - before) / 10.0 / cluster.entries.size
            }
            return rate
        }

        /** Guards against heartbeats whose number grows with the square of the number of entries. */
        @Test
        fun `of one entry do not grow with ten times as many entries`() {
            val atFewEntries = heartbeatsPerEntryAndSecond(perZone = 20)
            val atManyEntries = heartbeatsPerEntryAndSecond(perZone = 200)
            assertTrue(
                atManyEntries <= atFewEntries * MAX_GROWTH,
                "$atFewEntries per second at 100 entries, $atManyEntries at 1,000",
            )
        }
    }

    @Nested
    inner class Zones {
        /** Guards against standby entries that take callers, and against zones without an active entry. */
        @Test
        fun `have few active entries, and all entries agree on them`() = simulate(perZone = 30) { cluster ->
            for (zone in listOf("a", "b", "c", "d", "e")) {
                val active = cluster.active(zone).toSet()
                assertEquals(ActivePolicy.MIN_ACTIVE, active.size, "$zone has $active")
                cluster.entries.filter {
                    it.zone == zone
                }.forEach { assertEquals(active, it.roles.selected.toSet(), it.name) }
            }
        }

        @Test
        fun `get new active entries in time when all are lost at once`() = simulate(perZone = 30) { cluster ->
            cluster.stopped += cluster.active("a")
            val elapsed = timeUntil { cluster.active("a").size == ActivePolicy.MIN_ACTIVE }
            assertTrue(elapsed < FAILOVER_BOUND, "took $elapsed, ${cluster.active("a")}")
        }

        @Test
        fun `add active entries within a second when a burst overloads the first ones`() =
            simulate(perZone = 30) { cluster ->
                cluster.entries.filter { it.name in cluster.active("a") }.forEach { it.requestsPerS = 200 }
                val elapsed = timeUntil { cluster.active("a").size >= 5 }
                assertTrue(elapsed < 1.seconds, "took $elapsed, ${cluster.active("a")}")
            }
    }

    @Nested
    inner class Updates {
        /**
         * Guards against requests to a draining upstream when its update is lost, or when the entries that forward
         * updates are lost.
         */
        @Test
        fun `of a draining upstream reach all despite lost datagrams and entries`() = simulate(
            perZone = 60,
        ) { cluster ->
            cluster.loss = 0.025
            cluster.stopped += listOf(cluster.active("b").first(), cluster.active("c").first())
            store.downFor += cluster.entries.filterIndexed { i, _ -> i % 3 == 0 }.map { it.name }
            delay(300.milliseconds)
            store.put(Topic.UPSTREAMS, "u1", "draining")
            val elapsed = timeUntil { cluster.running().none { it.routesTo("u1") } }
            store.downFor.clear()
            assertTrue(elapsed < DRAINING_BOUND, "took $elapsed")
        }

        @Test
        fun `of a new desired state reach all entries in time`() = simulate(perZone = 60) { cluster ->
            cluster.loss = 0.025
            store.put(Topic.DESIRED_STATE, "c", "2")
            val elapsed = timeUntil { cluster.running().all { it.book.state?.version == 2L } }
            assertTrue(elapsed < DRAINING_BOUND, "took $elapsed")
        }
    }

    @Nested
    inner class Store {
        /** Guards against entries that query the store although others follow it for them. */
        @Test
        fun `receives calls from its followers alone while it answers`() = simulate(perZone = 30) { cluster ->
            store.calls.clear()
            delay(20.seconds)
            assertEquals(2, store.calls.size, "calls by ${store.calls} of ${cluster.entries.size}")
        }

        /** Guards against stale entries that query as if the store answered when an outage begins. */
        @Test
        fun `receives a bounded number of calls when an outage begins`() = simulate(perZone = 30) { cluster ->
            store.downFor += cluster.entries.map { it.name }
            store.calls.clear()
            delay(4.seconds)
            val calls = store.calls.values.sum()
            store.downFor.clear()
            assertTrue(calls < MAX_CALLS_PER_S * 4, "$calls calls in four seconds")
        }

        /** Guards against an outage in which every entry retries its calls to the store at full rate. */
        @Test
        fun `receives a bounded number of calls per second from all entries during an outage`() =
            simulate(perZone = 30) { cluster ->
                store.downFor += cluster.entries.map { it.name }
                delay(1.seconds)
                val before = store.calls.values.sum()
                delay(8.seconds)
                val callsPerS = (store.calls.values.sum() - before) / 8.0
                store.downFor.clear()
                assertTrue(callsPerS < MAX_CALLS_PER_S, "$callsPerS calls per second")
            }
    }

    private companion object {
        const val SEED = 7L
        const val MAX_WAIT_MS = 20_000
        val STARTUP_TIME = 8.seconds
        val STEP = 10.milliseconds

        /** Allowed growth of the heartbeats of one entry from 100 to 1,000 entries. */
        const val MAX_GROWTH = 1.5

        /** Callers cache a reply of the directory for two seconds. */
        val FAILOVER_BOUND = 2.5.seconds

        /** Requests may reach an upstream for this long after it has started to drain. */
        val DRAINING_BOUND = 2.seconds
        const val MAX_CALLS_PER_S = 60.0
    }
}
