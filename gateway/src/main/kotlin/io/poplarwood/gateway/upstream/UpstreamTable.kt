package io.poplarwood.gateway.upstream

import io.poplarwood.api.id.ServiceName
import kotlin.time.Duration

/** All upstreams known to this entry, one row each. Used from the entry's event loop only. */
internal class UpstreamTable {
    private val rows = LinkedHashMap<String, UpstreamRow>()
    private val services = HashMap<ServiceName, MutableList<UpstreamRow>>()
    private val draining = DrainingIncarnations()
    private val removed = RemovedUpstreams()

    val all: Collection<UpstreamRow> get() = rows.values

    /** All services that upstreams were registered for. */
    val serviceNames: Set<ServiceName> get() = services.keys

    /** Rows of [service], including those of draining upstreams. */
    fun of(service: ServiceName): List<UpstreamRow> = services[service].orEmpty()

    /** Rows of the upstreams registered at [address]; several only until those that ended have expired. */
    fun withAddress(address: String): List<UpstreamRow> = rows.values.filter { it.record.address == address }

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
        removed.restore(row, now)
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
        removed.add(row)
        return row
    }

    private fun Upstream.isSameIncarnation(other: Upstream) =
        startMs == other.startMs && address == other.address && service == other.service
}
