package io.poplarwood.api.random

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class SplitMixSpec {
    @Nested
    inner class `two generators with the same seed` {
        /** Guards against benchmarks whose result varies between runs with the same seed. */
        @Test
        fun `produce the same numbers`() = runTest {
            checkAll(PropTestConfig(seed = 1), Arb.long()) { seed ->
                assertEquals(SplitMix(seed).nextLong(), SplitMix(seed).nextLong())
            }
        }
    }

    @Nested
    inner class `a bounded number` {
        /** Guards against an out-of-range index when the number selects from a table. */
        @Test
        fun `stays below its bound`() = runTest {
            checkAll(PropTestConfig(seed = 2), Arb.long(), Arb.int(1..Int.MAX_VALUE)) { seed, bound ->
                assertTrue(SplitMix(seed).nextInt(bound) in 0 until bound)
            }
        }
    }
}
