package io.poplarwood.decision.routing

import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.id.Zone

/**
 * State of all upstreams that an entry knows, in columns with one row per upstream. Times are in microseconds of the
 * entry's ticker.
 *
 * An upstream keeps its row index while it is listed or has requests in flight.
 */
internal class UpstreamTable(private val zone: Zone) {
    private val rowById = HashMap<UpstreamId, Int>()
    private val rowByKey = HashMap<Int, Int>()
    private var freeRows = ArrayDeque<Int>()

    /** Bound on the row indices in use; rows below it may be free. */
    var size = 0
        private set

    var id = arrayOfNulls<UpstreamId>(INITIAL_CAPACITY)
    var state = Array(INITIAL_CAPACITY) { UpstreamState.LEAVING }
    var listed = BooleanArray(INITIAL_CAPACITY)

    /** Whether the upstream belongs to this entry's subset. */
    var inSubset = BooleanArray(INITIAL_CAPACITY)
    var zones = arrayOfNulls<Zone>(INITIAL_CAPACITY)
    var sameZone = BooleanArray(INITIAL_CAPACITY)
    var slots = IntArray(INITIAL_CAPACITY)
    var connections = IntArray(INITIAL_CAPACITY)

    /** Largest number of requests that this entry may have in flight at the upstream: its share of the connections. */
    var connectionShare = IntArray(INITIAL_CAPACITY)

    /** Leases held, and how many of them have a request in flight. */
    var heldLeases = IntArray(INITIAL_CAPACITY)
    var leasedInFlight = IntArray(INITIAL_CAPACITY)

    /** Requests in flight without a lease. */
    var unleasedInFlight = IntArray(INITIAL_CAPACITY)

    /** Whether the upstream runs a request that must run alone. */
    var runningAlone = BooleanArray(INITIAL_CAPACITY)

    /**
     * Smoothed latency in microseconds, 0 before the first response, and the number of samples in it, up to a bound.
     */
    var latency = DoubleArray(INITIAL_CAPACITY)
    var sampleCount = IntArray(INITIAL_CAPACITY)
    var sampledAt = LongArray(INITIAL_CAPACITY)

    /** Whether responses report slots and load, so that queueing need not be inferred from latency. */
    var reportsLoad = BooleanArray(INITIAL_CAPACITY)

    /** Failures since the last response that was no failure. */
    var consecutiveFailures = IntArray(INITIAL_CAPACITY)
    var consecutiveSheds = IntArray(INITIAL_CAPACITY)
    var shedsSinceRenewal = IntArray(INITIAL_CAPACITY)

    /** End of the backoff after a shed or a failure; no work is sent before it. */
    var backoffUntil = LongArray(INITIAL_CAPACITY)

    /** When the upstream was last observed to have a free slot or none, and which of the two it was. */
    var observedAt = LongArray(INITIAL_CAPACITY)
    var observedFree = BooleanArray(INITIAL_CAPACITY)

    /**
     * Start of the ramp of a warming upstream; end of the ejection of a suspect one; ejections since the upstream last
     * recovered fully.
     */
    var rampStartedAt = LongArray(INITIAL_CAPACITY)
    var ejectedUntil = LongArray(INITIAL_CAPACITY)
    var ejectionCount = IntArray(INITIAL_CAPACITY)

    /** Requests in flight from this entry. */
    fun inFlight(row: Int): Int = leasedInFlight[row] + unleasedInFlight[row]

    /** Leases without a request in flight. */
    fun idleLeases(row: Int): Int = heldLeases[row] - leasedInFlight[row]

    /** Row of [upstream], or -1 when it is unknown. */
    fun rowOf(upstream: UpstreamId): Int = rowById[upstream] ?: -1

    /** Row of the upstream with [key], or -1 when it is unknown. */
    fun rowOf(key: UpstreamKey): Int = rowByKey[key.value] ?: -1

    /** Row of [view]'s upstream, added when it is new; the slots of a known upstream are kept. */
    fun add(view: UpstreamView, nowMicros: Long): Int {
        val known = rowOf(view.id)
        val row = if (known >= 0) known else newRow(view, nowMicros)
        listed[row] = true
        connections[row] = view.connectionLimit
        return row
    }

    /** Frees [row] once its upstream is not listed and has no request in flight. */
    fun removeIfUnused(row: Int) {
        val upstream = id[row]
        if (upstream == null || listed[row] || inFlight(row) > 0) return
        rowById.remove(upstream)
        rowByKey.remove(UpstreamKey.of(upstream).value)
        id[row] = null
        freeRows.addLast(row)
    }

    private fun newRow(view: UpstreamView, nowMicros: Long): Int {
        val row = freeRows.removeFirstOrNull() ?: size++
        if (row >= id.size) growColumns(row * 2)
        resetRow(row)
        rowById[view.id] = row
        rowByKey[UpstreamKey.of(view.id).value] = row
        zones[row] = view.zone
        id[row] = view.id
        sameZone[row] = view.zone == zone
        slots[row] = view.slots
        state[row] = view.state
        rampStartedAt[row] = nowMicros
        return row
    }

    private fun resetRow(row: Int) {
        for (column in listOf(
            heldLeases,
            leasedInFlight,
            unleasedInFlight,
            sampleCount,
            consecutiveFailures,
            consecutiveSheds,
            shedsSinceRenewal,
            ejectionCount,
        )) {
            column[row] = 0
        }
        for (column in listOf(sampledAt, backoffUntil, observedAt, ejectedUntil)) column[row] = 0
        latency[row] = 0.0
        runningAlone[row] = false
        inSubset[row] = false
        observedFree[row] = false
        reportsLoad[row] = false
    }

    private fun growColumns(to: Int) {
        id = id.copyOf(to)
        val old = state
        state = Array(to) { if (it < old.size) old[it] else UpstreamState.LEAVING }
        listed = listed.copyOf(to)
        inSubset = inSubset.copyOf(to)
        zones = zones.copyOf(to)
        sameZone = sameZone.copyOf(to)
        slots = slots.copyOf(to)
        connections = connections.copyOf(to)
        connectionShare = connectionShare.copyOf(to)
        heldLeases = heldLeases.copyOf(to)
        leasedInFlight = leasedInFlight.copyOf(to)
        unleasedInFlight = unleasedInFlight.copyOf(to)
        runningAlone = runningAlone.copyOf(to)
        latency = latency.copyOf(to)
        sampleCount = sampleCount.copyOf(to)
        sampledAt = sampledAt.copyOf(to)
        reportsLoad = reportsLoad.copyOf(to)
        consecutiveFailures = consecutiveFailures.copyOf(to)
        consecutiveSheds = consecutiveSheds.copyOf(to)
        shedsSinceRenewal = shedsSinceRenewal.copyOf(to)
        backoffUntil = backoffUntil.copyOf(to)
        observedAt = observedAt.copyOf(to)
        observedFree = observedFree.copyOf(to)
        rampStartedAt = rampStartedAt.copyOf(to)
        ejectedUntil = ejectedUntil.copyOf(to)
        ejectionCount = ejectionCount.copyOf(to)
    }

    private companion object {
        const val INITIAL_CAPACITY = 64
    }
}
