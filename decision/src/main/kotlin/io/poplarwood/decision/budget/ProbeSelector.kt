package io.poplarwood.decision.budget

import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.random.Randomness
import io.poplarwood.decision.routing.UpstreamRow
import io.poplarwood.decision.routing.UpstreamState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides which upstream is worth a probe. Answers to requests are evidence already, so only an upstream that nothing
 * was heard of for a while is a candidate: an ejected one first, whose return depends on evidence, then the one heard
 * of longest ago. Equal candidates are drawn, so that entries spread over them.
 */
internal class ProbeSelector(private val random: Randomness, private val staleAfter: Duration = STALE_AFTER) {
    private val observedAt = HashMap<UpstreamId, Duration>()

    /** Notes evidence about [upstream], passive or asked for. */
    fun recordObservation(upstream: UpstreamId, now: Duration) {
        observedAt[upstream] = now
    }

    /** The upstream to probe at [now], or null when all are known well enough. */
    fun next(rows: List<UpstreamRow>, now: Duration): UpstreamId? {
        val known = rows.mapTo(HashSet(rows.size)) { it.id }
        observedAt.keys.retainAll(known)
        val stale = rows.filter { isStale(it, now) }
        val preferred = stale.filter { it.state == UpstreamState.SUSPECT }.ifEmpty { stale }
        val oldestAt = preferred.minOfOrNull { observedAt.getValue(it.id) } ?: return null
        val candidates = preferred.filter { observedAt.getValue(it.id) == oldestAt }
        return candidates[random.nextInt(candidates.size)].id
    }

    /** An upstream that was never heard of counts from when it was first seen, so that new ones get work first. */
    private fun isStale(row: UpstreamRow, now: Duration): Boolean {
        val lastObserved = observedAt.getOrPut(row.id) { now }
        return row.state != UpstreamState.LEAVING && row.inFlight == 0 && now - lastObserved >= staleAfter
    }

    private companion object {
        val STALE_AFTER = 2.seconds
    }
}
