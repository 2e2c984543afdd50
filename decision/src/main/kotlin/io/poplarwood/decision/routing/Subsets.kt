package io.poplarwood.decision.routing

import com.dynatrace.hash4j.hashing.Hashing
import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.random.SplitMix
import kotlin.math.ceil

/**
 * Assigns upstreams to entries by rendezvous hashing with bounded load.
 *
 * Every upstream is used by the same number of entries, so the upstreams are balanced exactly. An entry gets at most
 * [MAX_LOAD_FACTOR] times the mean number of upstreams; an upstream whose best entries have reached that bound uses its
 * next best ones. The same inputs give the same assignment at every entry.
 */
internal object Subsets {
    /**
     * Bound on the ratio of an entry's number of upstreams to the mean, before rounding up; keeps the ratio after
     * rounding below the target of 1.3.
     */
    private const val MAX_LOAD_FACTOR = 1.15

    /**
     * Entries of each upstream as indices into [entries], best first. The first one issues the upstream's leases.
     *
     * @param subsetSize upstreams per entry to aim for; every entry uses all upstreams of a smaller service
     */
    fun assign(entries: List<EntryRef>, upstreams: List<UpstreamId>, subsetSize: Int): List<IntArray> {
        if (entries.isEmpty()) return upstreams.map { IntArray(0) }
        val count = entries.size
        val entriesPerUpstream =
            ceil(subsetSize.toDouble() * count / upstreams.size.coerceAtLeast(1)).toInt().coerceIn(1, count)
        val maxPerEntry = ceil(upstreams.size.toDouble() * entriesPerUpstream / count * MAX_LOAD_FACTOR).toInt()
        val entryHashes = LongArray(count) { hash(entries[it].toString()) }
        val load = IntArray(count)
        val order = upstreams.indices.sortedBy { hash(upstreams[it].toString()) }
        val result = arrayOfNulls<IntArray>(upstreams.size)
        for (u in order) {
            result[u] = chooseEntries(entryHashes, hash(upstreams[u].toString()), entriesPerUpstream, load, maxPerEntry)
        }
        return result.map { checkNotNull(it) }
    }

    private fun chooseEntries(
        entryHashes: LongArray,
        key: Long,
        entriesPerUpstream: Int,
        load: IntArray,
        maxPerEntry: Int,
    ): IntArray {
        val ranked = entryHashes.indices.sortedByDescending { mix(entryHashes[it] xor key) }
        val chosen = IntArray(entriesPerUpstream)
        var n = 0
        for (e in ranked) {
            if (n < entriesPerUpstream && load[e] < maxPerEntry) chosen[n++] = e
        }
        for (e in ranked) {
            if (n < entriesPerUpstream && e !in chosen.take(n)) chosen[n++] = e
        }
        for (e in chosen) load[e]++
        return chosen
    }

    private fun hash(text: String): Long = Hashing.komihash5_0().hashCharsToLong(text)

    private fun mix(value: Long): Long = SplitMix(value).nextLong()
}
