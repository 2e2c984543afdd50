package io.poplarwood.gateway.load

import org.junit.jupiter.api.Tag
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Responses to callers while up to three of ten upstreams reject requests for one to five seconds, again and again. */
class RejectedRequestsSpec {
    private fun simulate(load: Double, seed: Long, scope: RetryAfterScope) =
        SharedUpstreams(load, seed, scope, REJECTING).simulate()

    private fun compareWithIgnored(load: Double, holds: (honored: ModelResult, ignored: ModelResult) -> Boolean) {
        for (seed in 1L..2L) {
            val results = RetryAfterScope.entries.associateWith { simulate(load, seed, it) }
            val figures = results.entries.joinToString { "${it.key} ${it.value.inTime} with ${it.value.sheds} sheds" }
            println("load $load seed $seed: $figures")
            val honored = results.getValue(RetryAfterScope.BY_THE_ONE_TOLD)
            val ignored = results.getValue(RetryAfterScope.BY_NONE)
            assertTrue(holds(honored, ignored), "load $load seed $seed: $figures")
        }
    }

    /** Guards against sending requests to upstreams that reject them, and against avoiding upstreams for too long. */
    @Test
    fun `more requests are answered in time than when retry-after times are ignored`() =
        listOf(0.5, 0.7).forEach { compareWithIgnored(it) { honored, ignored -> honored.inTime >= ignored.inTime } }

    /** Guards against returning to upstreams so late that callers would get more if their times were ignored. */
    @Tag("known-red")
    @Test
    fun `more requests are answered in time also when the other upstreams are full`() =
        listOf(0.9, 1.2).forEach { compareWithIgnored(it) { honored, ignored -> honored.inTime >= ignored.inTime } }

    /** Guards against sending requests to upstreams that reject them. */
    @Test
    fun `fewer requests are rejected than when retry-after times are ignored`() =
        listOf(0.5, 0.7, 0.9, 1.2).forEach {
            compareWithIgnored(it) { honored, ignored -> honored.sheds < ignored.sheds }
        }

    /** Guards against requests that are refused or late because their upstreams have rejected some a while ago. */
    @Test
    fun `as many requests as before are answered in time when no upstream names a time`() {
        for ((load, bounds) in mapOf(0.5 to listOf(0.95, 0.95), 0.7 to listOf(0.82, 0.85))) {
            for ((seed, bound) in bounds.withIndex().map { it.index + 1L to it.value }) {
                val result = simulate(load, seed, RetryAfterScope.BY_NONE)
                val figures = "${result.inTime} with ${result.sheds} sheds, bound $bound"
                println("load $load seed $seed, no times named: $figures")
                assertTrue(result.inTime >= bound, "load $load seed $seed: $figures")
            }
        }
    }

    /** Guards against sending requests to an upstream within the time for which it asked for none. */
    @Test
    fun `no request reaches an upstream before its retry-after time has passed`() {
        for (load in listOf(0.5, 1.2)) assertEquals(0, simulate(load, 4, RetryAfterScope.BY_THE_ONE_TOLD).maxEarly)
    }

    private companion object {
        const val REJECTING = 3
    }
}
