package io.poplarwood.fleet

import io.poplarwood.api.platform.VmRecord
import io.poplarwood.fleet.config.CatchUp
import io.poplarwood.fleet.config.ConfigState
import io.poplarwood.fleet.config.ConfigWriter
import io.poplarwood.fleet.config.HeadWatch
import io.poplarwood.fleet.config.InForceLog
import io.poplarwood.fleet.config.InForceTracker
import io.poplarwood.fleet.config.ViewUpdater
import io.poplarwood.fleet.membership.Freshness
import io.poplarwood.fleet.membership.MemberRow
import io.poplarwood.fleet.membership.MemberState
import io.poplarwood.fleet.membership.MemberTable
import io.poplarwood.fleet.membership.Prober
import io.poplarwood.fleet.message.Digest
import io.poplarwood.fleet.message.FleetMessage
import io.poplarwood.fleet.message.Peer
import io.poplarwood.fleet.recovery.UnlimitedRecovery
import io.poplarwood.fleet.snapshot.SnapshotWriter
import io.poplarwood.fleet.upstream.UpstreamStateRow
import io.poplarwood.fleet.upstream.UpstreamTable
import io.poplarwood.fleet.upstream.VmListPoller
import kotlin.time.Duration

/** The components of one node and their wiring. */
internal class NodeComponents(
    private val ctx: NodeContext,
    digest: () -> Digest,
) {
    val table = MemberTable(ctx)
    val prober = Prober(ctx, table, digest)
    val freshness = Freshness()
    val state = ConfigState(ctx) { freshness.onApplied(it) }
    val upstreams = UpstreamTable(ctx)
    val headWatch = HeadWatch(ctx, table, prober, state, freshness)
    val catchUp = CatchUp(ctx, table, state, freshness)
    private val inForceLog = InForceLog(ctx)
    private val tracker = InForceTracker(ctx, table, state, inForceLog::add)
    val writer = ConfigWriter(ctx, state, { catchUp.behind }, headWatch::readNow, tracker::onCommitted)
    private val viewUpdater = ViewUpdater(ctx, table, state, headWatch::runRound, writer::submitView)
    private val snapshots = SnapshotWriter(ctx, state)
    private val recovery = if (ctx.settings.limited) null else UnlimitedRecovery(ctx, state, headWatch::storeDown)
    private val vmListPoller = VmListPoller(ctx, table, ::updateVmList)

    fun tick(now: Duration) {
        ctx.tick()
        table.tick(now)
        prober.tick(now)
        headWatch.tick(now)
        catchUp.tick(now)
        writer.runDelayed(now)
        writer.tick(now)
        tracker.tick(now)
        inForceLog.tick(now)
        viewUpdater.tick(now)
        vmListPoller.tick(now)
        upstreams.tick(now)
        recovery?.tick(now)
    }

    /** Merges the row of the sender of a digest. Returns true when the row states that this run is gone. */
    fun mergeSender(from: Peer, row: MemberRow, applied: Long): Boolean {
        val gone = table.merge(row)
        val member = table[from.ref] ?: return gone
        if (row.state == MemberState.GONE) member.ended = true
        if (member.row.state == MemberState.SUSPECT) table.clearSuspicion(member, row)
        member.applied = maxOf(member.applied, applied)
        tracker.onAcknowledged(from.ref, applied)
        return gone
    }

    fun handle(from: Peer, message: FleetMessage) {
        when (message) {
            is FleetMessage.IndirectPing ->
                prober.ping(ctx.now, message.target, onBehalfOf = from to message.nonce)
            is FleetMessage.IndirectAck -> prober.onIndirectAck(message.nonce, message.target)
            is FleetMessage.ChangePush -> onChangePush(message)
            is FleetMessage.ChangeAck -> onChangeAck(from, message.sequence)
            is FleetMessage.ChangePull -> ctx.send(from, FleetMessage.Changes(state.batchesAfter(message.after)))
            is FleetMessage.Changes -> catchUp.onChanges(message.batches)
            is FleetMessage.UpstreamUpdate -> mergeUpstreams(message.rows)
            is FleetMessage.SnapshotPull -> snapshots.page(message.page)?.let { ctx.send(from, it) }
            is FleetMessage.Snapshot -> catchUp.onSnapshotPage(from, message)
            is FleetMessage.Ping, is FleetMessage.Ack -> Unit
        }
    }

    private fun onChangePush(push: FleetMessage.ChangePush) {
        tracker.forward(push)
        push.batches.forEach(state::apply)
        val last = push.batches.maxOfOrNull { it.sequence } ?: return
        table[push.origin.ref]?.let { it.applied = maxOf(it.applied, last) }
        catchUp.tick(ctx.now)
        if (state.applied >= last) ctx.send(push.origin, FleetMessage.ChangeAck(state.applied))
    }

    private fun onChangeAck(from: Peer, sequence: Long) {
        table[from.ref]?.let { it.applied = maxOf(it.applied, sequence) }
        tracker.onAcknowledged(from.ref, sequence)
    }

    fun updateVmList(records: List<VmRecord>) {
        prober.updateAddresses(VmListPoller.peerAddresses(records))
        val before = upstreams.notLive()
        upstreams.updateFromVmList(records)
        gossip(upstreams.notLive() - before)
    }

    /** Merges upstream states and forwards those that were new here. */
    fun mergeUpstreams(rows: List<UpstreamStateRow>) = gossip(rows.filter(upstreams::merge))

    private fun gossip(rows: Collection<UpstreamStateRow>) {
        if (rows.isEmpty()) return
        val targets = table.present().map { it.row.peer }.toMutableList()
        repeat(minOf(FANOUT, targets.size)) {
            val to = targets.removeAt(ctx.random.nextInt(targets.size))
            rows.chunked(Digest.MAX_ROWS).forEach { ctx.send(to, FleetMessage.UpstreamUpdate(it)) }
        }
    }

    /** Sends a change of this entry's own row to [FANOUT] members at once. */
    fun announceSelf() {
        val now = ctx.now
        table.present().shuffledBy(ctx).take(FANOUT).forEach { prober.ping(now, it.row.peer, affectsState = false) }
    }

    private fun <T> List<T>.shuffledBy(ctx: NodeContext): List<T> =
        map { it to ctx.random.nextLong() }.sortedBy { it.second }.map { it.first }

    private companion object {
        /** Random members to which an update is sent at once. */
        const val FANOUT = 4
    }
}
