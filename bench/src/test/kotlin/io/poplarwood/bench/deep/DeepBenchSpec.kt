package io.poplarwood.bench.deep

import io.poplarwood.bench.api.BenchOptions
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertTrue

internal class DeepBenchSpec {
    @Nested
    inner class `a chain of eleven levels` {
        /** Guards against retries that multiply from level to level. */
        @Test
        fun `adds at most a tenth of load at its deepest level`() = runTest {
            val report = DeepBench().run(BenchOptions(quick = true))
            assertTrue(report.checks.isNotEmpty())
            report.checks.forEach { assertTrue(it.met, "$it") }
        }
    }
}
