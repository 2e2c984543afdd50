package io.poplarwood.entry.node

import io.poplarwood.decision.explain.AttemptRecord
import io.poplarwood.decision.explain.ExplainRecord
import io.poplarwood.entry.operator.DocumentFault
import io.poplarwood.entry.operator.ExplainReport
import io.poplarwood.entry.operator.ExplainStep
import io.poplarwood.entry.operator.ValueChange
import io.poplarwood.fleet.config.ConfigFault
import io.poplarwood.fleet.config.Difference

internal fun Difference.value() = ValueChange(path, before, after)

internal fun ConfigFault.value() = DocumentFault(path, found, allowed)

/** The record as a list of decisions in the order of their times. */
internal fun ExplainRecord.report(entry: String): ExplainReport {
    val steps = ArrayList<ExplainStep>()
    val rankName = rank.name.lowercase()
    steps += ExplainStep(0.0, "queued as $rankName behind $queuedAhead, wait estimated at $estimatedWaitMs ms")
    var at = 0.0
    for (a in attempts) {
        at += a.waitedMs
        steps += ExplainStep(at, a.decision(), a.upstream.address, a.retry)
        at += a.ranMs ?: 0.0
        a.result?.let { steps += ExplainStep(at, "attempt ended: $it", a.upstream.address) }
    }
    admittedBy?.let { steps += ExplainStep(at, "slot given by ${it.name.lowercase().replace('_', ' ')}") }
    retryAfterMs?.let { steps += ExplainStep(at, "told to come back after $it ms") }
    return ExplainReport(request.value, entry, service.value, workClass.value, outcome ?: "running", steps)
}

private fun AttemptRecord.decision(): String {
    val left = if (excluded.isEmpty()) "" else ", left out ${excluded.joinToString { it.address }}"
    val alone = if (alone) ", alone" else ""
    return "sent, $considered upstreams considered$left$alone"
}
