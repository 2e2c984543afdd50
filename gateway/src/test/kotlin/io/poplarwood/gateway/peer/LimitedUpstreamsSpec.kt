package io.poplarwood.gateway.peer

import io.poplarwood.api.random.SplitMix
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.store.Topic
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Simulates many entries that share the rates which upstreams name, through restarts and cuts, in virtual time. */
class LimitedUpstreamsSpec {
    private class Day(val cluster: SimulatedCluster, val load: LimitedUpstreams, val now: () -> Duration)

    private fun simulate(perZone: Int, upstreams: Int, seed: Long, body: suspend TestScope.(Day) -> Unit) = runTest(
        timeout = 5.minutes,
    ) {
        val store = SimulatedStore()
        store.put(Topic.DESIRED_STATE, "c", "1")
        for (i in 1..upstreams) store.put(Topic.UPSTREAMS, "u$i", "ready")
        val ticker = Ticker { testScheduler.currentTime.milliseconds }
        val cluster = SimulatedCluster(backgroundScope, ticker, store, listOf("a", "b", "c"), perZone, seed)
        cluster.start()
        delay(STARTUP_TIME)
        val load = LimitedUpstreams(backgroundScope, ticker, cluster, HashMap(), seed)
        body(Day(cluster, load, ticker::now))
        backgroundScope.coroutineContext.cancelChildren()
    }

    private fun Day.assertKept(upstream: String, perSecond: Double, from: Duration, excused: Set<String> = emptySet()) {
        val most = load.most(upstream, WINDOW, from, now(), excused)
        val allowed = (perSecond * WINDOW.toDouble(DurationUnit.SECONDS) * OVERAGE + SLACK).toInt()
        assertTrue(most <= allowed, "$upstream got $most requests in 4 s at a limit of $perSecond; allowed $allowed")
    }

    private fun Day.usedShare(upstreams: List<String>, from: Duration): Double {
        val available = upstreams.sumOf { load.limits.getValue(it) } * (now() - from).toDouble(DurationUnit.SECONDS)
        return upstreams.sumOf { load.count(it, from, now()) } / available
    }

    private fun Day.assertUsed(upstreams: List<String>, from: Duration) {
        val share = usedShare(upstreams, from)
        assertTrue(share >= MIN_USED_SHARE, "$upstreams got ${"%.2f".format(share)} of their limits")
    }

    @Nested
    inner class `two of eight upstreams` {
        private fun restartsAndCuts(perZone: Int, seed: Long) = simulate(perZone, upstreams = 8, seed) { day ->
            day.load.start(perSecond = 60)
            delay(2.seconds)
            day.load.limits += mapOf("u1" to 1.8, "u2" to 2.9)
            delay(STABLE_TIME)
            val from = day.now()
            val random = SplitMix(seed)
            repeat(6) {
                val names = day.cluster.entries.filter { it.roles.active }.map { it.name }
                val first = names[random.nextInt(names.size)]
                val second = names[random.nextInt(names.size)]
                backgroundScope.launch { day.cluster.restart(first, 2.seconds) }
                day.cluster.unreachable += second
                delay(3.seconds)
                day.cluster.unreachable -= second
                day.cluster.loss = if (it % 2 == 0) 0.3 else 0.0
                delay(3.seconds)
            }
            for ((upstream, limit) in day.load.limits) day.assertKept(upstream, limit, from)
            day.assertUsed(listOf("u1", "u2"), from)
        }

        /** Guards against a limit that is lost or doubled when its issuer restarts, is cut off or loses datagrams. */
        @Test
        fun `keep to their limits through restarts, cuts and loss at 18 entries`() =
            listOf(1L, 2L, 3L).forEach { restartsAndCuts(perZone = 6, it) }

        @Test
        fun `keep to their limits through restarts, cuts and loss at 150 entries`() = restartsAndCuts(perZone = 50, 4L)

        /** Guards against a rate that the window before a change has already spent. */
        @Test
        fun `keep to a limit that is lowered`() = simulate(perZone = 6, upstreams = 8, seed = 5) { day ->
            day.load.start(perSecond = 120)
            day.load.limits += mapOf("u1" to 15.0)
            delay(8.seconds)
            day.load.limits["u1"] = 2.0
            delay(1.seconds)
            val from = day.now()
            delay(8.seconds)
            day.assertKept("u1", 2.0, from)
            delay(4.seconds)
            day.assertUsed(listOf("u1"), day.now() - 6.seconds)
        }
    }

    @Nested
    inner class `all upstreams` {
        /** Guards against a rate that is divided among entries without callers. */
        @Test
        fun `give their limits to the entries that have callers`() = simulate(
            perZone = 6,
            upstreams = 4,
            seed = 6,
        ) { day ->
            day.load.limits += (1..4).associate { "u$it" to 3.0 }
            val withCallers = day.cluster.entries.filter { it.roles.active }.map { it.name }.take(1)
            day.load.withoutCallers += day.cluster.entries.map { it.name } - withCallers.toSet()
            day.load.start(perSecond = 40)
            delay(STABLE_TIME)
            val from = day.now()
            delay(10.seconds)
            for (upstream in day.load.limits.keys) day.assertKept(upstream, 3.0, from)
            day.assertUsed(day.load.limits.keys.toList(), from)
        }

        /** Guards against limits that all entries together exceed or leave unused when there are many of them. */
        @Test
        fun `are used by all entries together`() = simulate(perZone = 50, upstreams = 20, seed = 7) { day ->
            day.load.limits += (1..20).associate { "u$it" to 2.0 }
            day.load.start(perSecond = 100)
            delay(STABLE_TIME)
            val from = day.now()
            delay(10.seconds)
            for (upstream in day.load.limits.keys) day.assertKept(upstream, 2.0, from)
            day.assertUsed(day.load.limits.keys.toList(), from)
        }
    }

    private companion object {
        val STARTUP_TIME = 8.seconds

        /** Time after the first answer with a limit from which the platform's rule holds. */
        val STABLE_TIME = 3.seconds

        /** The platform's rule: at most one and a half times what the limit allows in four seconds, and five more. */
        val WINDOW = 4.seconds
        const val OVERAGE = 1.5
        const val SLACK = 5

        /** A limit that is kept by leaving most of it unused serves callers badly. */
        const val MIN_USED_SHARE = 0.5
    }
}
