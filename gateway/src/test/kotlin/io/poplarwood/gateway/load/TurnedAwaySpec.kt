package io.poplarwood.gateway.load

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** What callers get while three of ten upstreams turn requests away for one to five seconds, again and again. */
class TurnedAwaySpec {
    private fun play(load: Double, seed: Long, heeded: RetryAfterScope) = SharedCell(load, seed, heeded, AWAY).result()

    /** Guards against requests that go on to upstreams which turn them away, and upstreams avoided for too long. */
    @Test
    fun `more callers are answered in time than when the time that upstreams ask for is not heeded`() {
        for (load in listOf(0.5, 0.7, 0.9, 1.2)) {
            for (seed in 1L..2L) {
                val results = RetryAfterScope.entries.associateWith { play(load, seed, it) }
                val figures = results.entries.joinToString {
                    "${it.key} ${it.value.inAim} with ${it.value.sheds} sheds"
                }
                println("load $load seed $seed: $figures")
                val heeded = results.getValue(RetryAfterScope.BY_THE_ONE_TOLD)
                val before = results.getValue(RetryAfterScope.BY_NONE)
                assertTrue(heeded.inAim >= before.inAim, "load $load: $figures")
                assertTrue(heeded.sheds < before.sheds, "load $load: $figures")
            }
        }
    }

    /** Guards against requests that reach an upstream within the time for which it wants nothing. */
    @Test
    fun `none reaches an upstream within the time that it asked for`() {
        for (load in listOf(0.5, 1.2)) assertEquals(0, play(load, 4, RetryAfterScope.BY_THE_ONE_TOLD).mostEarly)
    }

    private companion object {
        const val AWAY = 3
    }
}
