package io.poplarwood.gateway.decision

import io.poplarwood.api.random.SplitMix
import io.poplarwood.gateway.support.SERVICE
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RetryBudgetSpec {
    private val window = 10.seconds
    private val ratio = 0.2
    private val slack = 64.0

    private class Simulation(val requests: List<Int>, val retries: List<Int>)

    /** Simulates 40 s of requests that arrive in bursts; times are in milliseconds. */
    private fun simulate(seed: Long): Simulation {
        val random = SplitMix(seed)
        val entries = 2 + random.nextInt(17)
        val budgets = List(entries) { RetryBudget(window, { RetryLimits(ratio, slack) }) { entries } }
        val requests = ArrayList<Int>()
        val retries = ArrayList<Int>()
        for (ms in 0 until 40_000 step 5) {
            val now = ms.milliseconds
            val requestProbability = if (ms / 7_000 % 2 == 0) 0.9 else 0.1
            if (random.nextDouble() < requestProbability) {
                budgets[random.nextInt(entries)].recordRequest(SERVICE, now)
                requests += ms
            }
            if (random.nextDouble() < 0.7 && budgets[random.nextInt(entries)].tryAcquire(SERVICE, now)) retries += ms
        }
        return Simulation(requests, retries)
    }

    /** Guards against entries that each keep to their budget but together exceed the limit in some window. */
    @Test
    fun `limits all entries together in every sliding window`() {
        val span = window.inWholeMilliseconds.toInt()
        for (seed in 1L..10L) {
            val simulation = simulate(seed)
            for (from in 0 until 30_000 step 250) {
                val used = simulation.retries.count { it in from until from + span }
                // The requests are counted in that window or the one before it, whichever has more.
                val inWindow = simulation.requests.count { it in from until from + span }
                val before = simulation.requests.count { it in from - span until from }
                val allowed = ratio * maxOf(inWindow, before) + slack
                assertTrue(used <= allowed, "seed $seed, window at $from: $used of $allowed")
            }
        }
    }

    /** Guards against a utilization that no comparison with a share of the budget can use. */
    @Test
    fun `is used up at most, also without requests or after its limit was lowered`() {
        var limits = RetryLimits(ratio, 0.0)
        val budget = RetryBudget(window, { limits }) { 1 }
        assertEquals(0.0, budget.utilization(SERVICE, 0.seconds))
        assertFalse(budget.tryAcquire(SERVICE, 0.seconds))
        assertEquals(1.0, budget.utilization(SERVICE, 0.seconds))
        limits = RetryLimits(ratio, 8.0)
        repeat(3) { assertTrue(budget.tryAcquire(SERVICE, 0.seconds)) }
        assertEquals(0.75, budget.utilization(SERVICE, 0.seconds))
        limits = RetryLimits(ratio, 2.0)
        assertEquals(1.0, budget.utilization(SERVICE, 0.seconds))
    }

    @Test
    fun `frees the attempts that left the window`() {
        val budget = RetryBudget(window, { RetryLimits(ratio, 4.0) }) { 1 }
        assertTrue(budget.tryAcquire(SERVICE, 0.seconds))
        assertTrue(budget.tryAcquire(SERVICE, 0.seconds))
        assertFalse(budget.tryAcquire(SERVICE, 1.seconds))
        assertTrue(budget.tryAcquire(SERVICE, 11.seconds))
    }
}
