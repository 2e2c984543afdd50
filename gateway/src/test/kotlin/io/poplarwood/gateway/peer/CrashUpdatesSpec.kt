package io.poplarwood.gateway.peer

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.decision.crash.CrashLoss
import io.poplarwood.gateway.decision.crash.CrashVerdict
import io.poplarwood.gateway.decision.crash.UpstreamFate
import io.poplarwood.gateway.store.Topic
import io.poplarwood.gateway.upstream.IncarnationId
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CrashUpdatesSpec {
    private val store = SimulatedStore()

    private fun simulate(scenario: suspend TestScope.(SimulatedCluster) -> Unit) = runTest {
        store.put(Topic.DESIRED_STATE, "c", "1")
        store.put(Topic.UPSTREAMS, "u1", "ready")
        val cluster = SimulatedCluster(backgroundScope, ticker(), store, listOf("a", "b", "c"), PER_ZONE, SEED)
        cluster.start()
        delay(5.seconds)
        scenario(cluster)
        backgroundScope.coroutineContext.cancelChildren()
    }

    private fun TestScope.ticker() = Ticker { testScheduler.currentTime.milliseconds }

    private fun TestScope.now(): Duration = testScheduler.currentTime.milliseconds

    /** Lets three upstreams end under [request] at [entry], one after the other. */
    private suspend fun TestScope.loseUpstreams(entry: SimulatedCluster.Entry, request: Long = REQUEST) = repeat(3) {
        delay(10.milliseconds)
        val loss = CrashLoss(
            request * 10 + it,
            IncarnationId("u$it", 0),
            now() - 1.milliseconds,
            now(),
            UpstreamFate.ENDED,
        )
        entry.crashes.recordLoss(request, loss, now())
        entry.peers.crashGossip.announceLoss(request, loss)
    }

    private fun TestScope.admitting(cluster: SimulatedCluster, request: Long = REQUEST) =
        cluster.entries.filter { it.crashes.verdict(request, now()) != CrashVerdict.REFUSED }.map { it.name }

    /** Guards against entries that never learn of losses that were announced while they were unreachable. */
    @Test
    fun `reach every entry in time although the announcement reached none`() = simulate { cluster ->
        cluster.unreachable += cluster.entries.map { it.name }
        loseUpstreams(cluster.entries.first())
        cluster.unreachable.clear()
        delay(CONVERGENCE_TIME)
        assertEquals(emptyList(), admitting(cluster))
    }

    /** Guards against records that are never sent because as many newer ones as one heartbeat carries match. */
    @Test
    fun `reach every entry although many newer records exist`() = simulate { cluster ->
        cluster.unreachable += cluster.entries.map { it.name }
        for (request in 1L..MANY) loseUpstreams(cluster.entries.first(), request)
        cluster.unreachable.clear()
        delay(CONVERGENCE_TIME * 2)
        val admitted = (1L..MANY).filter { admitting(cluster, it).isNotEmpty() }
        assertEquals(emptyList(), admitted)
    }

    /** Guards against updates of a standby entry that reach only active entries. */
    @Test
    fun `reach every entry in time from a standby entry despite lost datagrams`() = simulate { cluster ->
        cluster.loss = 0.1
        loseUpstreams(cluster.entries.last { !it.roles.active })
        delay(CONVERGENCE_TIME)
        assertEquals(emptyList(), admitting(cluster))
    }

    /** Guards against a request that stays refused at entries that did not observe its successful reply. */
    @Test
    fun `are cleared everywhere by a reply that one entry observed`() = simulate { cluster ->
        loseUpstreams(cluster.entries.first())
        delay(CONVERGENCE_TIME)
        cluster.entries[2].crashes.recordAnswer(REQUEST, now())
        delay(CONVERGENCE_TIME)
        assertEquals(cluster.entries.map { it.name }, admitting(cluster))
    }

    /** Guards against entries that keep exchanging records that both have. */
    @Test
    fun `are not sent again once all entries have them`() = simulate { cluster ->
        loseUpstreams(cluster.entries.first())
        delay(CONVERGENCE_TIME)
        val before = cluster.datagrams - cluster.heartbeats
        delay(CONVERGENCE_TIME)
        assertEquals(before, cluster.datagrams - cluster.heartbeats)
    }

    private companion object {
        const val PER_ZONE = 6
        const val SEED = 4L
        const val REQUEST = 7L

        /** Several times the number of records that are sent in response to one heartbeat. */
        const val MANY = 30L

        /** Time within which a crash record or its clearing reaches every entry. */
        val CONVERGENCE_TIME = 3.seconds
    }
}
