package io.poplarwood.bench.budget

import io.poplarwood.bench.api.BenchOptions
import io.poplarwood.bench.flood.FloodPrinter
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

internal class BudgetBenchSpec {
    @Nested
    inner class `a fleet that probes as much as it may` {
        /** Guards against measuring above the budget while entries come, go and pause. */
        @Test
        fun `stays within the budget`() = runTest {
            val report = BudgetBench().run(BenchOptions(seed = 1, quick = true))
            FloodPrinter.print(report)
            assertEquals(emptyList(), report.checks.filterNot { it.met }.map { it.name })
        }
    }
}
