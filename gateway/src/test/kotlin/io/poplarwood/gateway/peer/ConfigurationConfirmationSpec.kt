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
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Simulates in virtual time how twelve entries in three zones learn that their configuration is the newest. */
class ConfigurationConfirmationSpec {
    private val store = SimulatedStore()

    private fun simulate(body: suspend TestScope.(SimulatedCluster) -> Unit) = runTest(timeout = 5.minutes) {
        store.put(Topic.DESIRED_STATE, "c", "1")
        store.put(Topic.UPSTREAMS, "u1", "ready")
        val ticker = Ticker { testScheduler.currentTime.milliseconds }
        val cluster = SimulatedCluster(backgroundScope, ticker, store, listOf("a", "b", "c"), 4, seed = 7)
        cluster.start()
        delay(10.seconds)
        body(cluster)
        backgroundScope.coroutineContext.cancelChildren()
    }

    private fun TestScope.staleness(entry: SimulatedCluster.Entry) =
        entry.book.freshness.age(testScheduler.currentTime.milliseconds).staleness

    private suspend fun TestScope.highestStaleness(cluster: SimulatedCluster, length: Duration): Duration {
        var highest = Duration.ZERO
        repeat((length / STEP).toInt()) {
            highest = maxOf(highest, cluster.entries.maxOf { staleness(it) })
            delay(STEP)
        }
        return highest
    }

    @Nested
    inner class `all entries` {
        /** Guards against entries that refuse requests without a route although nothing has failed. */
        @Test
        fun `are confirmed at least every one and a half seconds`() = simulate { cluster ->
            val highest = highestStaleness(cluster, 20.seconds)
            assertTrue(highest < 1_500.milliseconds, "highest $highest")
        }

        /** Guards against confirmations that stop for as long as changes follow each other. */
        @Test
        fun `are confirmed within the bound while the configuration changes twice a second`() = simulate { cluster ->
            var highest = Duration.ZERO
            for (version in 2..20) {
                store.put(Topic.DESIRED_STATE, "c", "$version")
                highest = maxOf(highest, highestStaleness(cluster, 500.milliseconds))
            }
            assertTrue(highest < 2.seconds, "highest $highest")
            delay(1.seconds)
            for (entry in cluster.entries) {
                assertEquals(20, entry.book.state?.version)
                assertNull(entry.book.freshness.behind)
            }
        }

        /** Guards against entries that confirm each other in a circle while none reaches the store. */
        @Test
        fun `grow stale together while the store answers none`() = simulate { cluster ->
            store.downFor += cluster.entries.map { it.name }
            delay(10.seconds)
            val lowest = cluster.entries.minOf { staleness(it) }
            assertTrue(lowest > 9.seconds, "lowest $lowest")
        }
    }

    /** Guards against confirmations that count from when a busy entry reads them. */
    @Test
    fun `a confirmation that is read late does not hold for longer`() = simulate { cluster ->
        for ((round, late) in listOf(300, 900, 1_500).withIndex()) {
            for (entry in listOf("a-2", "b-1", "c-4")) cluster.readDelay[entry] = late.milliseconds
            delay(4.seconds)
            store.put(Topic.DESIRED_STATE, "c", "${2 + round}")
            val writtenAt = testScheduler.currentTime.milliseconds
            repeat(80) {
                val wrong = cluster.entries.filter {
                    it.book.state?.version != 2L + round && it.book.freshness.confirmedAt > writtenAt
                }
                assertEquals(emptyList(), wrong.map { it.name }, "read $late ms late")
                delay(STEP)
            }
        }
    }

    /** Guards against an entry that trusts peers which hear of no change, instead of asking the store. */
    @Test
    fun `an entry without heartbeats confirms its configuration at the store`() = simulate { cluster ->
        cluster.unreachable += "c-4"
        delay(10.seconds)
        val entry = cluster.entries.first { it.name == "c-4" }
        val highest = (1..100).maxOf {
            delay(STEP)
            staleness(entry)
        }
        assertTrue(highest < 5.seconds, "highest $highest")
    }

    private companion object {
        val STEP = 50.milliseconds
    }
}
