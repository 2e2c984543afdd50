package io.poplarwood.entry.metrics

import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.api.outcome.RetryReason
import org.junit.jupiter.api.Test
import java.io.File
import kotlin.test.assertContains
import kotlin.test.assertEquals

class EntryMetricsSpec {
    /** Guards against metrics that docs/metrics.md lacks, or lists after their removal. */
    @Test
    fun `is listed in the documentation`() {
        val rows = File("../docs/metrics.md").readLines().filter { it.startsWith("| `poplarwood_") }
        val metrics = EntryMetrics().helpTexts().toSortedMap().map { (name, help) -> "| `$name` | $help |" }
        assertEquals(metrics, rows)
    }

    /** Guards against a counter that appears only with its first increment, which hides a first failure. */
    @Test
    fun `has a counter at zero for every reason`() {
        val text = EntryMetrics().exposition().decodeToString()
        for (reason in RefusalReason.entries) {
            assertContains(text, "poplarwood_refusals_total{reason=\"${reason.wire}\"} 0.0")
        }
        for (reason in RetryReason.entries) {
            assertContains(text, "poplarwood_retries_total{reason=\"${reason.wire}\"} 0.0")
        }
    }
}
