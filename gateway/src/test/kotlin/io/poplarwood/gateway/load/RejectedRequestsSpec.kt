package io.poplarwood.gateway.load

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Responses to callers while up to three of ten upstreams reject requests for one to five seconds, again and again. */
class RejectedRequestsSpec {
    private fun simulate(load: Double, seed: Long, scope: RetryAfterScope) =
        SharedUpstreams(load, seed, scope, REJECTING).simulate()

    /** Guards against sending requests to upstreams that reject them, and against avoiding upstreams for too long. */
    @Test
    fun `more requests are answered in time than when retry-after times are ignored`() {
        for (load in listOf(0.5, 0.7, 0.9, 1.2)) {
            for (seed in 1L..2L) {
                val results = RetryAfterScope.entries.associateWith { simulate(load, seed, it) }
                val figures = results.entries.joinToString {
                    "${it.key} ${it.value.inTime} with ${it.value.sheds} sheds"
                }
                println("load $load seed $seed: $figures")
                val honored = results.getValue(RetryAfterScope.BY_THE_ONE_TOLD)
                val ignored = results.getValue(RetryAfterScope.BY_NONE)
                assertTrue(honored.inTime >= ignored.inTime, "load $load: $figures")
                assertTrue(honored.sheds < ignored.sheds, "load $load: $figures")
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
