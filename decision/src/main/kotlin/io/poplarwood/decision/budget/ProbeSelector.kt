package io.poplarwood.decision.budget

import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.random.RandomSource
import io.poplarwood.decision.routing.UpstreamRow
import io.poplarwood.decision.routing.UpstreamState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Chooses the upstream to probe. Responses to requests are observations already, so only an upstream without recent
 * observations is a candidate. Ejected upstreams come first, because their return depends on observations; then the one
 * that was observed longest ago. Ties are broken at random, so that entries spread over the upstreams.
 */
internal class ProbeSelector(private val random: RandomSource, private val staleAfter: Duration = STALE_AFTER) {
    private val observedAt = HashMap<UpstreamId, Duration>()

    /** Records an observation of [upstream], from a request or a probe. */
    fun recordObservation(upstream: UpstreamId, now: Duration) {
        observedAt[upstream] = now
    }

    /** The upstream to probe at [now], or null when all have been observed recently. */
    fun next(rows: List<UpstreamRow>, now: Duration): UpstreamId? {
        val known = rows.mapTo(HashSet(rows.size)) { it.id }
        observedAt.keys.retainAll(known)
        val stale = rows.filter { isStale(it, now) }
        val preferred = stale.filter { it.state == UpstreamState.SUSPECT }.ifEmpty { stale }
        val oldestAt = preferred.minOfOrNull { observedAt.getValue(it.id) } ?: return null
        val candidates = preferred.filter { observedAt.getValue(it.id) == oldestAt }
        return candidates[random.nextInt(candidates.size)].id
    }

    /**
     * An upstream without observations counts as observed when it is first listed, so that new upstreams get work
     * before probes.
     */
    private fun isStale(row: UpstreamRow, now: Duration): Boolean {
        val lastObserved = observedAt.getOrPut(row.id) { now }
        return row.state != UpstreamState.LEAVING && row.inFlight == 0 && now - lastObserved >= staleAfter
    }

    private companion object {
        val STALE_AFTER = 2.seconds
    }
}
