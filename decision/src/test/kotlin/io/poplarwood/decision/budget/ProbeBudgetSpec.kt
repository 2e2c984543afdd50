package io.poplarwood.decision.budget

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import io.poplarwood.api.random.SplitMix
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class ProbeBudgetSpec {
    /**
     * An entry whose probes leave one step after they were decided, or after a pause, whatever the budget allows by
     * then.
     */
    private class Prober(private val budget: ProbeBudget) {
        private var pausedUntil = Duration.ZERO
        private var decided = false

        /** Whether a probe leaves in this step. */
        fun step(now: Duration, perSecond: Double, random: SplitMix): Boolean {
            if (now < pausedUntil) return false
            val sent = decided
            decided = !sent && budget.tryTake(perSecond)
            if (random.nextInt(if (decided) 20 else 200) == 0) pausedUntil = now + random.nextInt(3_000).milliseconds
            return sent
        }
    }

    @Nested
    inner class `the probes of all entries` {
        /** Guards against more probes than the operators' budget in any window of one second. */
        @Test
        fun `stay within the budget while entries restart and pause`() = runTest {
            checkAll(PropTestConfig(seed = 6, iterations = 60), Arb.long()) { seed -> simulate(seed, perSecond = 10.0) }
            checkAll(PropTestConfig(seed = 7, iterations = 60), Arb.long()) { seed -> simulate(seed, perSecond = 3.0) }
        }

        private fun simulate(seed: Long, perSecond: Double) {
            val random = SplitMix(seed)
            var now = Duration.ZERO
            val fleet = MutableList(SEATS) { Prober(ProbeBudget(SEATS, it) { now }) }
            val sent = ArrayList<Duration>()
            while (now < 8.seconds) {
                now += 10.milliseconds
                for (seat in fleet.indices) {
                    if (random.nextInt(400) == 0) fleet[seat] = Prober(ProbeBudget(SEATS, seat) { now })
                    if (fleet[seat].step(now, perSecond, random)) sent += now
                }
            }
            val maxPerWindow = sent.indices.maxOf { i -> sent.count { it >= sent[i] && it - sent[i] < 1.seconds } }
            assertTrue(maxPerWindow <= perSecond, "seed $seed: $maxPerWindow probes in a second")
            assertTrue(sent.isNotEmpty(), "seed $seed: no probe at all")
        }
    }

    private companion object {
        const val SEATS = 4
    }
}
