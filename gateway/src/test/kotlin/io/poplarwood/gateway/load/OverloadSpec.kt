package io.poplarwood.gateway.load

import kotlin.test.Test
import kotlin.test.assertTrue

/** Goodput when more requests arrive than the upstreams can serve, without any other fault. */
class OverloadSpec {
    private fun goodput(
        load: Double,
        seed: Long,
    ) = SharedUpstreams(load, seed, RetryAfterScope.BY_NONE, rejecting = 0).simulate().goodput

    /** Guards against a queue full of requests whose responses come too late to be useful. */
    @Test
    fun `as many requests are answered in time as at moderate load`() {
        for (seed in 1L..3L) {
            val baseline = goodput(BASELINE_LOAD, seed)
            for (load in listOf(1.0, 1.2, 1.5, 3.0)) {
                val goodput = goodput(load, seed)
                println("load $load seed $seed: goodput $goodput, $baseline at $BASELINE_LOAD")
                assertTrue(goodput >= baseline, "load $load seed $seed: $goodput, $baseline at $BASELINE_LOAD")
            }
        }
    }

    private companion object {
        /** Load at which hardly any request is queued. */
        const val BASELINE_LOAD = 0.7
    }
}
