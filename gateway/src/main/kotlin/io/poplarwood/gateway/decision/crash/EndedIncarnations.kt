package io.poplarwood.gateway.decision.crash

import io.poplarwood.gateway.upstream.IncarnationId
import kotlin.time.Duration

/** The incarnations of upstreams that ended last: a loss at one of them may be noticed only after its end is known. */
internal class EndedIncarnations {
    private val endedAt = LinkedHashMap<IncarnationId, Duration>()

    fun add(upstream: IncarnationId, now: Duration) {
        endedAt.remove(upstream)
        endedAt[upstream] = now
        if (endedAt.size > MAX_INCARNATIONS) endedAt.remove(endedAt.keys.first())
    }

    /** Whether the upstream of [loss] ended after the request was sent to it. */
    fun contains(loss: CrashLoss): Boolean = endedAt[loss.upstream]?.let { loss.sentAt <= it } ?: false

    private companion object {
        const val MAX_INCARNATIONS = 512
    }
}
