package io.poplarwood.fleet.upstream

import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.platform.VmRecord
import io.poplarwood.api.platform.VmRole
import io.poplarwood.api.platform.VmState
import io.poplarwood.fleet.FleetEvent
import io.poplarwood.fleet.NodeContext
import io.poplarwood.fleet.message.Digest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Upstreams of the cell with their states, as reported by the VM list, by the upstreams and by peers. */
internal class UpstreamTable(private val ctx: NodeContext) {
    private class TrackedUpstream(var upstream: FleetUpstream) {
        var missingSince: Duration? = null
        var changedAt: Duration? = null
        var timesSent = 0
    }

    private val tracked = LinkedHashMap<UpstreamId, TrackedUpstream>()

    /** Updates, with their time of receipt, about upstreams that are not in the VM list yet; applied once listed. */
    private val unlisted = LinkedHashMap<UpstreamId, Pair<UpstreamStateRow, Duration>>()

    /** Number of VM lists whose missing upstreams were ignored because more than half were missing. */
    var ignoredVmLists = 0
        private set

    /** Upstreams of [service] that are not in state [FleetUpstreamState.GONE]. */
    fun of(service: ServiceName): List<FleetUpstream> =
        tracked.values.filter { it.upstream.service == service && it.upstream.state != FleetUpstreamState.GONE }
            .map { it.upstream }.sortedBy { it.id }

    /** Upstreams that take no new requests, as updates for peers. */
    fun notLive(): Set<UpstreamStateRow> = tracked.values.filter { it.upstream.state != FleetUpstreamState.LIVE }
        .mapTo(LinkedHashSet()) { UpstreamStateRow(it.upstream.id, it.upstream.service, it.upstream.state) }

    /** Services that have upstreams. */
    fun services(): Set<ServiceName> = tracked.values.mapTo(LinkedHashSet()) { it.upstream.service }

    /** Merges the VM list of the platform. */
    fun updateFromVmList(records: List<VmRecord>) {
        val upstreams = records.filter { it.role == VmRole.UPSTREAM && it.service != null }
        val ids = upstreams.mapTo(HashSet()) { UpstreamId(it.address, it.incarnation) }
        upstreams.forEach { r -> r.service?.let { mergeRecord(r, it) } }
        val present = tracked.values.filter { it.upstream.state != FleetUpstreamState.GONE }
        val missing = present.filter { it.upstream.id !in ids }
        if (missing.size > MAX_TRUSTED_MISSING && missing.size * 2 > present.size) {
            ignoredVmLists++
            return
        }
        missing.forEach { k ->
            val since = k.missingSince ?: ctx.now.also { k.missingSince = it }
            if (ctx.now - since >= MISSING_TIMEOUT) change(k, FleetUpstreamState.GONE)
        }
    }

    private fun mergeRecord(record: VmRecord, service: ServiceName) {
        val id = UpstreamId(record.address, record.incarnation)
        val state = if (record.state == VmState.LIVE) FleetUpstreamState.LIVE else FleetUpstreamState.LEAVING
        val k = tracked[id]
        if (k == null) {
            insert(FleetUpstream(id, service, record.zone, record.slots, record.connectionLimit, state))
            return
        }
        k.missingSince = null
        if (k.upstream.slots != record.slots || k.upstream.connectionLimit != record.connectionLimit) {
            k.upstream = k.upstream.copy(slots = record.slots, connectionLimit = record.connectionLimit)
            ctx.emit(FleetEvent.UpstreamsChanged(service))
        }
        if (state > k.upstream.state) change(k, state)
    }

    /** Adds a newly listed upstream; other incarnations at the same address are marked as gone. */
    private fun insert(upstream: FleetUpstream) {
        tracked.values.filter { it.upstream.id.address == upstream.id.address }
            .forEach { if (it.upstream.state != FleetUpstreamState.GONE) change(it, FleetUpstreamState.GONE) }
        val update = unlisted.remove(upstream.id)?.first
        val state = maxOf(upstream.state, update?.state ?: upstream.state)
        tracked[upstream.id] = TrackedUpstream(upstream.copy(state = state))
        ctx.emit(FleetEvent.UpstreamsChanged(upstream.service))
    }

    /** Merges [row]; returns true when it changed the state known here. */
    fun merge(row: UpstreamStateRow): Boolean {
        if (row.state == FleetUpstreamState.LIVE) return false
        val k = tracked[row.id]
        if (k == null) {
            if (row.id in unlisted || unlisted.size >= MAX_UNLISTED) return false
            unlisted[row.id] = row to ctx.now
            return true
        }
        if (row.state <= k.upstream.state) return false
        change(k, row.state)
        return true
    }

    private fun change(k: TrackedUpstream, state: FleetUpstreamState) {
        k.upstream = k.upstream.copy(state = state)
        k.changedAt = ctx.now
        k.timesSent = 0
        ctx.emit(FleetEvent.UpstreamsChanged(k.upstream.service))
    }

    /** Rows for the next digest. */
    fun digestRows(): List<UpstreamStateRow> {
        val updates = tracked.values.filter { it.changedAt != null && it.timesSent < MAX_SENDS }
            .sortedBy { it.timesSent }
        return updates.take(Digest.MAX_ROWS).map { k ->
            k.timesSent++
            UpstreamStateRow(k.upstream.id, k.upstream.service, k.upstream.state)
        }
    }

    /** Removes upstreams and updates for unlisted upstreams after [GONE_RETENTION]. */
    fun tick(now: Duration) {
        tracked.values.removeAll { k ->
            val at = k.changedAt
            k.upstream.state == FleetUpstreamState.GONE && at != null && now - at >= GONE_RETENTION
        }
        unlisted.values.removeAll { now - it.second >= GONE_RETENTION }
    }

    private companion object {
        /**
         * Number of missing upstreams up to which a VM list is always trusted. Above it, a list that lacks more than
         * half of the upstreams is taken to be faulty.
         */
        const val MAX_TRUSTED_MISSING = 3

        /** Time for which VM lists must lack an upstream before it is marked as gone. */
        val MISSING_TIMEOUT = 10.seconds
        val GONE_RETENTION = 10.minutes

        /** Number of digests that carry a changed row. */
        const val MAX_SENDS = 12
        const val MAX_UNLISTED = 1_024
    }
}
