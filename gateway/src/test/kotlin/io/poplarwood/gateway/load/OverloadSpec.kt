package io.poplarwood.gateway.load

import kotlin.test.Test
import kotlin.test.assertTrue

/** What callers get when more requests arrive than upstreams can carry, and nothing else is wrong. */
class OverloadSpec {
    private fun goodput(
        load: Double,
        seed: Long,
    ) = SharedCell(load, seed, RetryAfterScope.BY_NONE, away = 0).result().perCapacity

    /** Guards against a queue that fills with requests which are answered too late to be of worth. */
    @Test
    fun `as many are answered in time as when the load just fits`() {
        for (seed in 1L..3L) {
            val fitting = goodput(FITS, seed)
            for (load in listOf(1.0, 1.2, 1.5, 3.0)) {
                val goodput = goodput(load, seed)
                println("load $load seed $seed: goodput $goodput, $fitting at $FITS")
                assertTrue(goodput >= fitting, "load $load seed $seed: $goodput, $fitting at $FITS")
            }
        }
    }

    private companion object {
        /** Load at which hardly a request waits. */
        const val FITS = 0.7
    }
}
