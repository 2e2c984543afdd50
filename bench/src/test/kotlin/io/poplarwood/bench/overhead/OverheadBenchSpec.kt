package io.poplarwood.bench.overhead

import io.poplarwood.bench.api.BenchOptions
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class OverheadBenchSpec {
    /** Guards against a measurement that answers nothing or loses a stage. */
    @Test
    fun `reports latency, cost and stages`() {
        val report = runBlocking { OverheadBench().run(BenchOptions(quick = true)) }
        assertEquals(listOf("direct", "through the entry", "added"), report.tables[0].rows.map { it.label })
        assertEquals(1.0, report.tables[2].rows.sumOf { it.values[0] }, 1e-6)
        assertTrue(report.tables.all { t -> t.rows.all { it.values.size == t.columns.size } })
    }
}
