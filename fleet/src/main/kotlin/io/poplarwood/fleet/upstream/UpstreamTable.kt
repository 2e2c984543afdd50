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

/** Upstreams of the cell with their states, from the VM list, from their own answers and from peers. */
internal class UpstreamTable(private val ctx: NodeContext) {
    private class Known(var upstream: FleetUpstream) {
        var missingSince: Duration? = null
        var changedAt: Duration? = null
        var sent = 0
    }

    private val known = LinkedHashMap<UpstreamId, Known>()

    /** News about upstreams that the VM list has not named yet; applied when it does. */
    private val early = LinkedHashMap<UpstreamId, Pair<UpstreamNewsRow, Duration>>()

    /** VM lists that were not applied because too much was missing. */
    var doubtfulLists = 0
        private set

    /** Upstreams of [service] that are not gone. */
    fun of(service: ServiceName): List<FleetUpstream> =
        known.values.filter { it.upstream.service == service && it.upstream.state != FleetUpstreamState.GONE }
            .map { it.upstream }.sortedBy { it.id }

    /** Upstreams that get no new work any more, as news. */
    fun leaving(): Set<UpstreamNewsRow> = known.values.filter { it.upstream.state != FleetUpstreamState.LIVE }
        .mapTo(LinkedHashSet()) { UpstreamNewsRow(it.upstream.id, it.upstream.service, it.upstream.state) }

    /** Services that have upstreams. */
    fun services(): Set<ServiceName> = known.values.mapTo(LinkedHashSet()) { it.upstream.service }

    /** Takes in the platform's list. */
    fun listed(records: List<VmRecord>) {
        val upstreams = records.filter { it.role == VmRole.UPSTREAM && it.service != null }
        val ids = upstreams.mapTo(HashSet()) { UpstreamId(it.address, it.incarnation) }
        upstreams.forEach { r -> r.service?.let { list(r, it) } }
        val present = known.values.filter { it.upstream.state != FleetUpstreamState.GONE }
        val missing = present.filter { it.upstream.id !in ids }
        if (missing.size > MIN_DOUBT && missing.size * 2 > present.size) {
            doubtfulLists++
            return
        }
        missing.forEach { k ->
            val since = k.missingSince ?: ctx.now.also { k.missingSince = it }
            if (ctx.now - since >= MISSING_FOR) change(k, FleetUpstreamState.GONE)
        }
    }

    private fun list(record: VmRecord, service: ServiceName) {
        val id = UpstreamId(record.address, record.incarnation)
        val state = if (record.state == VmState.LIVE) FleetUpstreamState.LIVE else FleetUpstreamState.LEAVING
        val k = known[id]
        if (k == null) {
            insert(FleetUpstream(id, service, record.zone, record.slots, record.connectionLimit, state))
            return
        }
        k.missingSince = null
        if (k.upstream.slots != record.slots || k.upstream.connectionLimit != record.connectionLimit) {
            k.upstream = k.upstream.copy(slots = record.slots, connectionLimit = record.connectionLimit)
            ctx.tell(FleetEvent.UpstreamsChanged(service))
        }
        if (state > k.upstream.state) change(k, state)
    }

    /** An address belongs to the incarnation that was listed last. */
    private fun insert(upstream: FleetUpstream) {
        known.values.filter { it.upstream.id.address == upstream.id.address }
            .forEach { if (it.upstream.state != FleetUpstreamState.GONE) change(it, FleetUpstreamState.GONE) }
        val news = early.remove(upstream.id)?.first
        val state = maxOf(upstream.state, news?.state ?: upstream.state)
        known[upstream.id] = Known(upstream.copy(state = state))
        ctx.tell(FleetEvent.UpstreamsChanged(upstream.service))
    }

    /** Takes in [row]; returns true when it was news. */
    fun news(row: UpstreamNewsRow): Boolean {
        if (row.state == FleetUpstreamState.LIVE) return false
        val k = known[row.id]
        if (k == null) {
            if (row.id in early || early.size >= MAX_EARLY) return false
            early[row.id] = row to ctx.now
            return true
        }
        if (row.state <= k.upstream.state) return false
        change(k, row.state)
        return true
    }

    private fun change(k: Known, state: FleetUpstreamState) {
        k.upstream = k.upstream.copy(state = state)
        k.changedAt = ctx.now
        k.sent = 0
        ctx.tell(FleetEvent.UpstreamsChanged(k.upstream.service))
    }

    /** Rows for the next ping. */
    fun digestRows(): List<UpstreamNewsRow> {
        val news = known.values.filter { it.changedAt != null && it.sent < MAX_SENT }.sortedBy { it.sent }
        return news.take(Digest.MAX_ROWS).map { k ->
            k.sent++
            UpstreamNewsRow(k.upstream.id, k.upstream.service, k.upstream.state)
        }
    }

    /** Forgets upstreams that have been gone for long. */
    fun tick(now: Duration) {
        known.values.removeAll { k ->
            val at = k.changedAt
            k.upstream.state == FleetUpstreamState.GONE && at != null && now - at >= KEEP_GONE
        }
        early.values.removeAll { now - it.second >= KEEP_GONE }
    }

    private companion object {
        /** A list that lacks more than half of the upstreams is more likely wrong than they are. */
        const val MIN_DOUBT = 3
        val MISSING_FOR = 10.seconds
        val KEEP_GONE = 10.minutes
        const val MAX_SENT = 12
        const val MAX_EARLY = 1_024
    }
}
