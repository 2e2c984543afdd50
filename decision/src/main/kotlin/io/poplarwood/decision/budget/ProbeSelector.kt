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
    private val heardAt = HashMap<UpstreamId, Duration>()

    /** Notes evidence about [upstream], passive or asked for. */
    fun heard(upstream: UpstreamId, now: Duration) {
        heardAt[upstream] = now
    }

    /** The upstream to probe at [now], or null when all are known well enough. */
    fun next(rows: List<UpstreamRow>, now: Duration): UpstreamId? {
        val known = rows.mapTo(HashSet(rows.size)) { it.id }
        heardAt.keys.retainAll(known)
        val stale = rows.filter { isStale(it, now) }
        val first = stale.filter { it.state == UpstreamState.SUSPECT }.ifEmpty { stale }
        val oldest = first.minOfOrNull { heardAt.getValue(it.id) } ?: return null
        val candidates = first.filter { heardAt.getValue(it.id) == oldest }
        return candidates[random.nextInt(candidates.size)].id
    }

    /** An upstream that was never heard of counts from when it was first seen, so that new ones get work first. */
    private fun isStale(row: UpstreamRow, now: Duration): Boolean {
        val heard = heardAt.getOrPut(row.id) { now }
        return row.state != UpstreamState.LEAVING && row.inFlight == 0 && now - heard >= staleAfter
    }

    private companion object {
        val STALE_AFTER = 2.seconds
    }
}
