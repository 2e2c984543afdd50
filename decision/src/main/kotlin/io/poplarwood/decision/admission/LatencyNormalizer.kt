package io.poplarwood.decision.admission

import io.poplarwood.decision.retry.answered
import io.poplarwood.decision.routing.AttemptObservation

/**
 * Makes latencies of different classes comparable, so that an upstream that happens to run long uploads does not look
 * slow to the router. Each latency is scaled to the most urgent class that has samples.
 */
internal object LatencyNormalizer {
    /** [evidence] about a call of [queue], with the latency that a call of the most urgent class would have shown. */
    fun normalize(evidence: AttemptObservation, queue: ClassQueue, queues: Collection<ClassQueue>): AttemptObservation {
        val ownMean = queue.serviceTime.mean
        val reference = queues.filter { it.serviceTime.mean > 0 }.minByOrNull { it.spec.rank } ?: return evidence
        if (!evidence.result.answered || ownMean == 0.0 || reference === queue) return evidence
        return evidence.copy(latency = evidence.latency * (reference.serviceTime.mean / ownMean))
    }
}
