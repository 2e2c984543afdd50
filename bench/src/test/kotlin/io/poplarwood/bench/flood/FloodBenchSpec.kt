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
            val report = FloodBench().run(BenchOptions(seed = 1, quick = !java.lang.Boolean.getBoolean("flood.full")))
            FloodPrinter.print(report)
            assertEquals(emptyList(), report.checks.filterNot { it.met }.map { it.name })
        }
    }
}
