package io.poplarwood.gateway.peer

import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.math.pow
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Simulates new versions of thousands of routes in an installation of many entries with narrow links. */
class LargeConfigurationsSpec {
    private fun simulate(
        name: String,
        initialRoutes: Int,
        mbit: (String) -> Double = ::installed,
        firstAsserted: Int = 2,
        verify: (LargeInstallation) -> Unit = {},
        body: suspend (LargeInstallation) -> Unit,
    ) = runTest(timeout = 2.minutes) {
        val installation = LargeInstallation(this, initialRoutes, SEED, mbit)
        installation.start()
        body(installation)
        installation.observeUntilInForce()
        val report = "LARGE_CONFIGURATIONS $name: ${installation.report(firstAsserted)}"
        println(report)
        val faults = installation.faults(firstAsserted)
        backgroundScope.coroutineContext.cancelChildren()
        verify(installation)
        assertEquals(0, faults.size, "$report; ${faults.take(3)}")
    }

    @Nested
    inner class Versions {
        /** Guards against whole versions for all entries, whose replies are lost because they take over 500 ms. */
        @Test
        fun `of many new routes are in force in time with few wide links in each zone`() =
            simulate("installed links", 100) { it.addThreeTimes() }

        /** Guards against many entries that ask one peer with a narrow link. */
        @Test
        fun `of many new routes are in force in time with links of any width`() {
            for (seed in 1..3) {
                val random = Random(seed)
                simulate("drawn links $seed", 100, { 7 * 20.0.pow(random.nextDouble()) }) { it.addThreeTimes() }
            }
        }

        /** Guards against an installation that waits for followers of the store with narrow links. */
        @Test
        fun `of many new routes are in force in time although the followers of the store have narrow links`() =
            simulate("narrow followers", 100, { if (it in FOLLOWERS) 2.0 else installed(it) }) {
                it.add(NEW_ROUTES)
                for (name in FOLLOWERS) it.allow(name, LargeInstallation.BOUND + it.wholeTime(name))
            }

        /** Guards against versions that are never in force because the next one comes before they are whole. */
        @Test
        fun `that follow each other quickly never go back, and the last one is in force in time`() =
            simulate("every 300 ms", 5_000, firstAsserted = 11) {
                repeat(10) { _ ->
                    it.add(190)
                    it.observe(300.milliseconds)
                }
            }

        private suspend fun LargeInstallation.addThreeTimes() = repeat(3) {
            add(NEW_ROUTES)
            observe(3.seconds)
        }
    }

    @Nested
    inner class Restarts {
        /** Guards against starting entries that take the links of those that need the new version. */
        @Test
        fun `of one in ten entries do not delay a version`() = simulate("one in ten restarted", 5_000) {
            it.draw(14, TAKING_CALLERS).forEach(it::restart)
            it.observe(600.milliseconds)
            it.add(NEW_ROUTES)
        }

        /** Guards against entries that start during a change and take callers with the version before. */
        @Test
        fun `in a row do not delay a version`() = simulate("restarts in a row", 5_000) { installation ->
            installation.draw(20, TAKING_CALLERS).forEachIndexed { i, name ->
                if (i == 7) installation.add(NEW_ROUTES)
                installation.restart(name)
                installation.observe(300.milliseconds)
            }
        }
    }

    @Nested
    inner class Cuts {
        private suspend fun LargeInstallation.cut(names: List<String>) {
            cluster.isolated += names
            store.downFor += names
            for (name in names) allow(name, CUT + SILENCE + LargeInstallation.BOUND)
            observe(500.milliseconds)
            add(NEW_ROUTES)
            observe(CUT - 500.milliseconds)
            cluster.isolated.clear()
            store.downFor.clear()
        }

        /** Guards against entries that stay behind after a cut, and against others that wait for them. */
        @Test
        fun `of one in ten entries end with the version of the others in time`() =
            simulate("one in ten cut off", 3_000) { it.cut(it.draw(14, TAKING_CALLERS)) }

        /** Guards against a version that nobody reads because its followers are cut off. */
        @Test
        fun `of the followers of the store delay the version by no more than their detection`() =
            simulate("followers cut off", 3_000) { installation ->
                for (entry in installation.cluster.entries) {
                    installation.allow(entry.name, 500.milliseconds + SILENCE + LargeInstallation.BOUND)
                }
                installation.cut(FOLLOWERS)
            }
    }

    @Nested
    inner class SmallChanges {
        /** Guards against whole versions that are sent for a change of few routes. */
        @Test
        fun `cost a small multiple of their own size`() =
            simulate("ten of ten thousand", 10_000, verify = ::verifyCost) {
                it.replace(CHANGED_ROUTES)
                it.observe(3.seconds)
            }

        private fun verifyCost(installation: LargeInstallation) {
            val (busiest, all) = installation.sentBytes()
            val changed = installation.sizeOf(CHANGED_ROUTES)
            val receivers = installation.cluster.entries.size
            val sent = "$changed bytes changed, the busiest entry sent $busiest, $receivers entries sent $all"
            assertTrue(all <= MAX_COST * changed * receivers, sent)
            assertTrue(busiest <= MAX_COST * changed * LargeInstallation.PER_ZONE, sent)
        }
    }

    private companion object {
        const val SEED = 7L
        const val NEW_ROUTES = 1_900
        const val CHANGED_ROUTES = 10

        /** The entries that follow the store: the first by name of the first zones. */
        val FOLLOWERS = listOf("a-1", "b-1")

        /** Some of the entries that take callers, one of them a follower. */
        val TAKING_CALLERS = listOf("a-1", "c-1", "d-10")
        val CUT = 3.seconds

        /** Time after which an entry that takes callers counts as silent. */
        val SILENCE = HeartbeatPlan.ACTIVE_PERIOD * 3.25

        /** Bytes sent for each changed byte and receiver. The receivers of one entry count as those of its zone. */
        const val MAX_COST = 20L

        /** Mbit/s as on the installation: the entries that take callers have wide links. */
        fun installed(name: String) = if (name.substringAfter('-') in setOf("1", "10")) 140.0 else 7.0
    }
}
