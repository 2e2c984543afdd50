package io.poplarwood.bench.slopes

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.double
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.math.abs
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class LinearFitSpec {
    @Nested
    inner class `points on a line` {
        /** Guards against capacity figures that a wrong fit extrapolates. */
        @Test
        fun `give that line back`() = runTest {
            val some = Arb.double(-1e6, 1e6)
            checkAll(PropTestConfig(seed = 5), some, some) { intercept, slope ->
                val x = listOf(1.0, 2.0, 5.0, 9.0)
                val fit = LinearFit.of(x, x.map { intercept + slope * it })
                assertTrue(abs(fit.at(100.0) - intercept - slope * 100) <= 1e-3)
            }
        }
    }

    @Nested
    inner class `points beside a line` {
        /** Guards against a residual that hides a bad fit. */
        @Test
        fun `show their distance`() {
            val fit = LinearFit.of(listOf(0.0, 1.0, 2.0, 3.0), listOf(0.0, 1.0, 1.0, 0.0))
            assertEquals(0.5, fit.residual)
        }
    }
}
