package io.poplarwood.bench.config

import io.poplarwood.bench.api.BenchOptions
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertTrue

class ConfigBenchSpec {
    @Nested
    inner class `the measurement of configuration` {
        @Test
        fun `meets its targets and shows the collapse without limits`() {
            // Guards the bounds of 5 s and 9 s, the store's limits, and the baseline that justifies the limits.
            val report = runBlocking { ConfigBench().run(BenchOptions(seed = 1, quick = true)) }
            assertTrue(report.checks.all { it.met }, report.checks.filter { !it.met }.toString())
        }
    }
}
