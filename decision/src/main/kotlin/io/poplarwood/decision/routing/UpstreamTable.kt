package io.poplarwood.decision.routing

import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.id.Zone

/**
 * Columns of all upstreams that an entry knows, one row each. Times are microseconds of the entry's ticker.
 *
 * A row keeps its index while the upstream is listed or has requests in flight.
 */
internal class UpstreamTable(private val zone: Zone) {
    private val rowOf = HashMap<UpstreamId, Int>()
    private val rowOfKey = HashMap<Int, Int>()
    private var free = ArrayDeque<Int>()

    /** Rows in use are below this index. */
    var size = 0
        private set

    var id = arrayOfNulls<UpstreamId>(INITIAL)
    var state = Array(INITIAL) { UpstreamState.LEAVING }
    var listed = BooleanArray(INITIAL)

    /** Whether this entry's subset has the upstream. */
    var member = BooleanArray(INITIAL)
    var zones = arrayOfNulls<Zone>(INITIAL)
    var near = BooleanArray(INITIAL)
    var slots = IntArray(INITIAL)
    var connections = IntArray(INITIAL)

    /** Most requests this entry may have in flight there, by its share of the connections. */
    var share = IntArray(INITIAL)

    /** Leases held, and how many of them have a request in flight. */
    var held = IntArray(INITIAL)
    var leased = IntArray(INITIAL)

    /** Requests in flight without a lease. */
    var optimistic = IntArray(INITIAL)

    /** Whether a request runs there that must run alone. */
    var alone = BooleanArray(INITIAL)

    /** Smoothed latency in microseconds, 0 before the first answer, and the number of answers in it, up to a bound. */
    var latency = DoubleArray(INITIAL)
    var samples = IntArray(INITIAL)
    var sampledAt = LongArray(INITIAL)

    /** Whether answers carry the slots and the load, so that latency need not tell whether requests queue. */
    var reports = BooleanArray(INITIAL)

    /** Failures since the last answer without one. */
    var failures = IntArray(INITIAL)
    var busyStreak = IntArray(INITIAL)
    var busySinceRenew = IntArray(INITIAL)

    /** No work before this time, after a shed or a failure. */
    var restUntil = LongArray(INITIAL)

    /** When the upstream last showed whether a slot was free, and whether it was. */
    var seenAt = LongArray(INITIAL)
    var seenFree = BooleanArray(INITIAL)

    /** Start of the ramp of a warming upstream; return time of a suspect one; ejections without a full return. */
    var rampFrom = LongArray(INITIAL)
    var returnAt = LongArray(INITIAL)
    var ejections = IntArray(INITIAL)

    /** Requests in flight from this entry. */
    fun inFlight(row: Int): Int = leased[row] + optimistic[row]

    /** Leases without a request in flight. */
    fun idle(row: Int): Int = held[row] - leased[row]

    /** Row of [upstream], or -1. */
    fun rowOf(upstream: UpstreamId): Int = rowOf[upstream] ?: -1

    /** Row of the upstream with [key], or -1. */
    fun rowOf(key: UpstreamKey): Int = rowOfKey[key.value] ?: -1

    /** Row of [view]'s upstream, added when it is new; reported slots of a known one are kept. */
    fun add(view: UpstreamView, nowMicros: Long): Int {
        val known = rowOf(view.id)
        val row = if (known >= 0) known else newRow(view, nowMicros)
        listed[row] = true
        connections[row] = view.connectionLimit
        return row
    }

    /** Frees [row] once its upstream is not listed and has no request in flight. */
    fun removeIfDone(row: Int) {
        val name = id[row]
        if (name == null || listed[row] || inFlight(row) > 0) return
        rowOf.remove(name)
        rowOfKey.remove(UpstreamKey.of(name).value)
        id[row] = null
        free.addLast(row)
    }

    private fun newRow(view: UpstreamView, nowMicros: Long): Int {
        val row = free.removeFirstOrNull() ?: size++
        if (row >= id.size) grow(row * 2)
        clear(row)
        rowOf[view.id] = row
        rowOfKey[UpstreamKey.of(view.id).value] = row
        zones[row] = view.zone
        id[row] = view.id
        near[row] = view.zone == zone
        slots[row] = view.slots
        state[row] = view.state
        rampFrom[row] = nowMicros
        return row
    }

    private fun clear(row: Int) {
        for (column in listOf(held, leased, optimistic, samples, failures, busyStreak, busySinceRenew, ejections)) {
            column[row] = 0
        }
        for (column in listOf(sampledAt, restUntil, seenAt, returnAt)) column[row] = 0
        latency[row] = 0.0
        alone[row] = false
        member[row] = false
        seenFree[row] = false
        reports[row] = false
    }

    private fun grow(to: Int) {
        id = id.copyOf(to)
        val old = state
        state = Array(to) { if (it < old.size) old[it] else UpstreamState.LEAVING }
        listed = listed.copyOf(to)
        member = member.copyOf(to)
        zones = zones.copyOf(to)
        near = near.copyOf(to)
        slots = slots.copyOf(to)
        connections = connections.copyOf(to)
        share = share.copyOf(to)
        held = held.copyOf(to)
        leased = leased.copyOf(to)
        optimistic = optimistic.copyOf(to)
        alone = alone.copyOf(to)
        latency = latency.copyOf(to)
        samples = samples.copyOf(to)
        sampledAt = sampledAt.copyOf(to)
        reports = reports.copyOf(to)
        failures = failures.copyOf(to)
        busyStreak = busyStreak.copyOf(to)
        busySinceRenew = busySinceRenew.copyOf(to)
        restUntil = restUntil.copyOf(to)
        seenAt = seenAt.copyOf(to)
        seenFree = seenFree.copyOf(to)
        rampFrom = rampFrom.copyOf(to)
        returnAt = returnAt.copyOf(to)
        ejections = ejections.copyOf(to)
    }

    private companion object {
        const val INITIAL = 64
    }
}
