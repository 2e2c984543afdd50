package io.poplarwood.gateway.metrics

import io.poplarwood.gateway.runtime.Outcome
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class GatewayMetricsSpec {
    private val metrics = GatewayMetrics().apply { requestEnded(Outcome.ANSWERED, 0, 20.milliseconds) }
    private val text = metrics.text().decodeToString()

    /** Guards against a counter that is missing until its first event, so that no alarm can watch it. */
    @Test
    fun `every outcome and every reason for a retry has a counter`() {
        for (outcome in Outcome.entries) assertTrue("outcome=\"${outcome.label}\"" in text, outcome.label)
        for (reason in RetryReason.entries) assertTrue("reason=\"${reason.name.lowercase()}\"" in text, reason.name)
    }

    @Test
    fun `the documentation lists every metric`() {
        val listed = File("../docs/gateway-metrics.md").readLines().filter { it.startsWith("| `") }
            .map { it.substringAfter('`').substringBefore('`') }
        val served = text.lineSequence().filter { it.startsWith("# TYPE") }
            .map { it.split(' ')[2].removeSuffix("_total") }.toList()
        assertEquals(served.sorted(), listed.sorted())
    }
}
