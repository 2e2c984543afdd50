package io.poplarwood.bench.flood

import io.poplarwood.bench.api.BenchOptions
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.minutes

internal class FloodBenchSpec {
    @Nested
    inner class `a flood at three times capacity` {
        /** Guards against changes of the policy that let one rank crowd out another. */
        @Test
        fun `meets the targets`() = runTest(timeout = 5.minutes) {
            val report = FloodBench().run(BenchOptions(seed = SEED, quick = !FULL))
            FloodPrinter.print(report)
            assertEquals(emptyList(), report.checks.filterNot { it.met }.map { it.name })
        }
    }

    private companion object {
        /** Set by hand for runs of full length and with other seeds. */
        val FULL = java.lang.Boolean.getBoolean("flood.full")
        val SEED = java.lang.Long.getLong("flood.seed", 1L)
    }
}
