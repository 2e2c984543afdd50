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

/** The record as a list of decisions, ordered by time. */
internal fun ExplainRecord.toReport(entry: String): ExplainReport {
    val steps = ArrayList<ExplainStep>()
    val rankName = rank.name.lowercase()
    steps += ExplainStep(0.0, "queued as $rankName behind $queuedAhead, wait estimated at $estimatedWaitMs ms")
    var elapsedMs = 0.0
    for (attempt in attempts) {
        elapsedMs += attempt.waitedMs
        steps += ExplainStep(elapsedMs, attempt.decision(), attempt.upstream.address, attempt.retry)
        elapsedMs += attempt.ranMs ?: 0.0
        attempt.result?.let { steps += ExplainStep(elapsedMs, "attempt ended: $it", attempt.upstream.address) }
    }
    admittedBy?.let { steps += ExplainStep(elapsedMs, "slot given by ${it.name.lowercase().replace('_', ' ')}") }
    retryAfterMs?.let { steps += ExplainStep(elapsedMs, "told to come back after $it ms") }
    return ExplainReport(request.value, entry, service.value, workClass.value, outcome ?: "running", steps)
}

private fun AttemptRecord.decision(): String {
    val exclusions = if (excluded.isEmpty()) "" else ", left out ${excluded.joinToString { it.address }}"
    val aloneSuffix = if (alone) ", alone" else ""
    return "sent, $considered upstreams considered$exclusions$aloneSuffix"
}
