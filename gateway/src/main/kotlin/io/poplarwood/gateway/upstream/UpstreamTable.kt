package io.poplarwood.gateway.upstream

import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.ServiceName
import kotlin.time.Duration

/** All upstreams known to this entry, one row each. Used from the entry's event loop only. */
internal class UpstreamTable {
    private val rows = LinkedHashMap<String, UpstreamRow>()
    private val services = HashMap<ServiceName, MutableList<UpstreamRow>>()
    private val draining = DrainingIncarnations()
    private val limitsOfRemoved = LinkedHashMap<IncarnationId, UpstreamLimit>()

    val all: Collection<UpstreamRow> get() = rows.values

    /** Rows of [service], including those of draining upstreams. */
    fun of(service: ServiceName): List<UpstreamRow> = services[service].orEmpty()

    /** Row of the upstream registered as [id]. */
    operator fun get(id: String): UpstreamRow? = rows[id]

    /** Applies a registration; returns the row that it replaced if a new incarnation began. */
    fun put(record: Upstream, now: Duration): UpstreamRow? {
        val previous = rows[record.id]
        if (previous != null && previous.record.isSameIncarnation(record)) {
            previous.update(record, now)
            return null
        }
        if (previous != null) remove(record.id)
        val row = UpstreamRow(record, now)
        limitsOfRemoved.remove(row.incarnation)?.let { row.limit = it }
        if (draining.contains(record.id, record.startMs, now)) row.availability.apply(AvailabilityInput.Draining, now)
        rows[record.id] = row
        services.getOrPut(record.service) { ArrayList() } += row
        return previous
    }

    /**
     * Marks the incarnation of the upstream [id] that began at [born] as draining. The mark also holds when its
     * registration arrives later, or is removed and returns.
     */
    fun markDraining(id: String, born: Long, now: Duration) {
        draining.add(id, born, now)
        rows[id]?.takeIf { it.record.startMs == born }?.availability?.apply(AvailabilityInput.Draining, now)
    }

    /** Removes the row of the upstream registered as [id]. */
    fun remove(id: String): UpstreamRow? {
        val row = rows.remove(id) ?: return null
        services[row.record.service]?.remove(row)
        rememberLimit(row)
        return row
    }

    /** Keeps the limit of a removed upstream, since its registration may have lapsed although it runs. */
    private fun rememberLimit(row: UpstreamRow) {
        if (row.limit.perSecond == null) return
        limitsOfRemoved[row.incarnation] = row.limit
        if (limitsOfRemoved.size > MAX_REMOVED_LIMITS) limitsOfRemoved.remove(limitsOfRemoved.keys.first())
    }

    /** Discards the in-flight counts reported by [entry]. */
    fun clearInFlightOf(entry: EntryId) = rows.values.forEach { it.setInFlightOf(entry, 0) }

    private fun Upstream.isSameIncarnation(other: Upstream) =
        startMs == other.startMs && address == other.address && service == other.service

    private companion object {
        const val MAX_REMOVED_LIMITS = 2_000
    }
}
