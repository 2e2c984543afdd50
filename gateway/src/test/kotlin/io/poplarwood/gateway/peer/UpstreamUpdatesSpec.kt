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

class UpstreamUpdatesSpec {
    private val store = SimulatedStore()

    private fun TestScope.cluster(seed: Long): SimulatedCluster {
        store.put(Topic.DESIRED_STATE, "c", "1")
        for (id in listOf("u1", "u2", "u3")) store.put(Topic.UPSTREAMS, id, "ready")
        val ticker = Ticker { testScheduler.currentTime.milliseconds }
        return SimulatedCluster(backgroundScope, ticker, store, listOf("a", "b", "c"), PER_ZONE, seed).also {
            it.start()
        }
    }

    /** Time until none of [entries] sends requests to [upstream] any more. */
    private suspend fun TestScope.timeUntilUnused(entries: List<SimulatedCluster.Entry>, upstream: String): Duration {
        val from = testScheduler.currentTime
        while (entries.any { it.routesTo(upstream) } && testScheduler.currentTime - from < MAX_WAIT_MS) delay(STEP)
        return (testScheduler.currentTime - from).milliseconds
    }

    private fun worst(seeds: LongRange, body: suspend TestScope.(SimulatedCluster, SplitMix) -> Duration): Duration {
        var worst = Duration.ZERO
        for (seed in seeds) {
            runTest {
                val random = SplitMix(seed)
                val cluster = cluster(seed)
                delay(5.seconds + (random.nextDouble() * 2_000).milliseconds)
                worst = maxOf(worst, body(cluster, random))
                backgroundScope.coroutineContext.cancelChildren()
            }
        }
        return worst
    }

    /**
     * Guards against requests to a draining upstream when the store stops answering just the entries that follow it.
     */
    @Test
    fun `reach every entry in time when the store stops answering its followers`() {
        val worst = worst(1L..30L) { cluster, random ->
            store.downFor += listOf("a-1", "b-1", "c-1", "c-2")
            delay((random.nextDouble() * 1_500).milliseconds)
            store.put(Topic.UPSTREAMS, "u1", "draining")
            timeUntilUnused(cluster.entries.filter { it.name !in store.downFor }, "u1").also { store.downFor.clear() }
        }
        assertTrue(worst < DRAINING_BOUND, "took $worst")
    }

    /**
     * Guards against updates that are delayed to the next heartbeat because the version of the store advanced by
     * changes of unrelated rows.
     */
    @Test
    fun `reach every entry at once although unrelated changes advanced the version of the store`() {
        val worst = worst(1L..20L) { cluster, _ ->
            repeat(9) { store.advanceVersion() }
            delay(3.seconds)
            store.put(Topic.UPSTREAMS, "u1", "draining")
            timeUntilUnused(cluster.entries, "u1")
        }
        assertTrue(worst < 50.milliseconds, "took $worst")
    }

    /** Guards against entries that stay out of date because a datagram was lost. */
    @Test
    fun `reach an entry in time that missed the datagram`() {
        val worst = worst(1L..20L) { cluster, _ ->
            cluster.unreachable += "b-2"
            store.put(Topic.UPSTREAMS, "u1", "draining")
            delay(20.milliseconds)
            cluster.unreachable.clear()
            timeUntilUnused(cluster.entries, "u1")
        }
        assertTrue(worst < DRAINING_BOUND, "took $worst")
    }

    /** Guards against a removal that just one entry finds, by a full read, and that the others never receive. */
    @Test
    fun `reach every entry when the store has dropped the change history and answers few entries`() {
        val worst = worst(1L..20L) { cluster, _ ->
            val all = cluster.entries.map { it.name }
            store.downFor += all
            store.put(Topic.UPSTREAMS, "u1", null)
            store.dropHistory()
            delay(3.seconds)
            store.downFor -= listOf("a-1", "b-1")
            timeUntilUnused(cluster.entries, "u1").also { store.downFor.clear() }
        }
        assertTrue(worst < DRAINING_BOUND, "took $worst")
    }

    /** Guards against a draining mark that entries miss, or that an old registration undoes. */
    @Test
    fun `of a draining mark reach the active entries although a datagram was lost`() {
        val worst = worst(1L..20L) { cluster, _ ->
            cluster.unreachable += cluster.entries.map { it.name }
            val finder = cluster.entries.first { it.roles.active }
            finder.upstreams.markDraining("u1", 1, testScheduler.currentTime.milliseconds)
            delay(20.milliseconds)
            cluster.unreachable.clear()
            store.put(Topic.UPSTREAMS, "u1", "ready")
            timeUntilUnused(cluster.entries.filter { it.roles.active }, "u1")
        }
        assertTrue(worst < DRAINING_BOUND, "took $worst")
    }

    /** Guards against entries that permanently report the store as unreachable after one outage. */
    @Test
    fun `resume after an outage, when every entry can follow the store again`() = runTest {
        val cluster = cluster(1)
        delay(5.seconds)
        store.downFor += cluster.entries.map { it.name }
        delay(4.seconds)
        store.downFor.clear()
        delay(5.seconds)
        assertEquals(emptyList(), cluster.entries.filter { !it.peers.storeAnswers }.map { it.name })
        backgroundScope.coroutineContext.cancelChildren()
    }

    private companion object {
        const val PER_ZONE = 4
        const val MAX_WAIT_MS = 10_000
        val STEP = 2.milliseconds

        /** Requests may reach an upstream for this long after it has started to drain. */
        val DRAINING_BOUND = 2.seconds
    }
}
