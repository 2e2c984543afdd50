package io.poplarwood.gateway.peer

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.store.Topic
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A removal that entries have missed, while others start after it. An entry that starts does not see what was removed
 * before, so it cannot tell others that nothing was.
 */
class MissedRemovalSpec {
    private val store = SimulatedStore()

    private fun TestScope.cluster(seed: Long): SimulatedCluster {
        store.put(Topic.DESIRED_STATE, "c", "1")
        for (id in listOf("u1", "u2", "u3")) store.put(Topic.UPSTREAMS, id, "ready")
        val ticker = Ticker { testScheduler.currentTime.milliseconds }
        return SimulatedCluster(backgroundScope, ticker, store, listOf("a", "b"), PER_ZONE, seed).also { it.start() }
    }

    private fun SimulatedCluster.entry(name: String) = entries.first { it.name == name }

    /** Lets [MISSING] miss the removal of u1, after which all entries of [restarted] start again. */
    private suspend fun TestScope.missRemoval(cluster: SimulatedCluster, restarted: List<String>) {
        delay(5.seconds)
        cluster.isolated += MISSING
        store.downFor += MISSING
        delay(1.seconds)
        store.put(Topic.UPSTREAMS, "u1", null)
        for (name in restarted) backgroundScope.launch { cluster.restart(name, 200.milliseconds) }
        // Writes of other tables go on.
        repeat(10) {
            delay(100.milliseconds)
            store.advanceVersion()
        }
    }

    /** Time until [MISSING] no longer sends requests to u1, once it hears others again. */
    private suspend fun TestScope.timeToLearn(cluster: SimulatedCluster): Duration {
        cluster.isolated.clear()
        val from = testScheduler.currentTime
        while (cluster.entry(MISSING).routesTo("u1") && testScheduler.currentTime - from < MAX_WAIT_MS) delay(STEP)
        return (testScheduler.currentTime - from).milliseconds
    }

    private fun check(restarted: List<String>, storeAnswers: Boolean) {
        for (seed in SEEDS) {
            runTest {
                val cluster = cluster(seed)
                missRemoval(cluster, restarted)
                if (storeAnswers) store.downFor.clear()
                val took = timeToLearn(cluster)
                store.downFor.clear()
                assertTrue(took < IN_TOUCH, "seed $seed took $took")
                backgroundScope.coroutineContext.cancelChildren()
            }
        }
    }

    @Nested
    inner class `is learnt in time by an entry that goes on after another one has started` {
        @Test
        fun `when it reaches the store`() = check(ONE, storeAnswers = true)

        /** Guards against a newly started entry whose heartbeat hides the removal that older ones know. */
        @Test
        fun `when it does not reach the store`() = check(ONE, storeAnswers = false)
    }

    @Nested
    inner class `is learnt in time by an entry that goes on after all others have started` {
        @Test
        fun `when it reaches the store`() = check(OTHERS, storeAnswers = true)

        /** Guards against a removal that is never learnt, because only a whole list shows it. */
        @Test
        fun `when it does not reach the store`() = check(OTHERS, storeAnswers = false)
    }

    /** Guards against a late update which brings back what was removed before an entry started. */
    @Test
    fun `is not undone at an entry that has started by a late update`() = runTest {
        val cluster = cluster(1)
        missRemoval(cluster, OTHERS)
        val registered = cluster.entry(MISSING).book.upstreamPage("", 3).filter { it.key == "u1" }
        val rows = registered.map { ReplicatedRow.of(it) }
        val after = registered.single().version.let { it.copy(change = it.change - 1) }
        val started = cluster.entry(OTHERS.first())
        started.peers.receive(PeerMessage.UpstreamUpdate(MISSING, after, rows))
        assertFalse(started.routesTo("u1"))
        backgroundScope.coroutineContext.cancelChildren()
    }

    private companion object {
        const val PER_ZONE = 2
        const val MISSING = "a-1"
        val ONE = listOf("b-2")
        val OTHERS = listOf("a-2", "b-1", "b-2")
        val SEEDS = 1L..30L
        const val MAX_WAIT_MS = 8_000
        val STEP = 2.milliseconds

        /** `stable-s`: an entry that goes on has this long to learn what it has missed. */
        val IN_TOUCH = 3.seconds
    }
}
