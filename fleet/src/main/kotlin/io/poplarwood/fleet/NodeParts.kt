package io.poplarwood.fleet

import io.poplarwood.api.platform.VmRecord
import io.poplarwood.fleet.config.CatchUp
import io.poplarwood.fleet.config.ConfigState
import io.poplarwood.fleet.config.ConfigWriter
import io.poplarwood.fleet.config.HeadWatch
import io.poplarwood.fleet.config.InForceLog
import io.poplarwood.fleet.config.InForceTracker
import io.poplarwood.fleet.config.ViewKeeper
import io.poplarwood.fleet.membership.Freshness
import io.poplarwood.fleet.membership.MemberRow
import io.poplarwood.fleet.membership.MemberState
import io.poplarwood.fleet.membership.MemberTable
import io.poplarwood.fleet.membership.Prober
import io.poplarwood.fleet.message.Digest
import io.poplarwood.fleet.message.FleetMessage
import io.poplarwood.fleet.message.Peer
import io.poplarwood.fleet.recovery.NaiveRecovery
import io.poplarwood.fleet.snapshot.SnapshotWriter
import io.poplarwood.fleet.upstream.UpstreamNewsRow
import io.poplarwood.fleet.upstream.UpstreamTable
import io.poplarwood.fleet.upstream.VmWatch
import kotlin.time.Duration

/** The parts of one node, wired to each other. */
internal class NodeParts(
    private val ctx: NodeContext,
    digest: () -> Digest,
) {
    val table = MemberTable(ctx)
    val prober = Prober(ctx, table, digest)
    val freshness = Freshness()
    val state = ConfigState(ctx) { freshness.applied(it) }
    val upstreams = UpstreamTable(ctx)
    val watch = HeadWatch(ctx, table, prober, state, freshness)
    val catchUp = CatchUp(ctx, table, state, freshness)
    private val inForceLog = InForceLog(ctx)
    private val tracker = InForceTracker(ctx, table, state, inForceLog::add)
    val writer = ConfigWriter(ctx, state, { catchUp.behind }, watch::readNow, tracker::committed)
    private val viewKeeper = ViewKeeper(ctx, table, state, watch::confirm, writer::submitView)
    private val snapshots = SnapshotWriter(ctx, state)
    private val naive = if (ctx.settings.limited) null else NaiveRecovery(ctx, state, watch::storeDown)
    private val vmWatch = VmWatch(ctx, table, ::listed)

    fun tick(now: Duration) {
        ctx.tick()
        table.tick(now)
        prober.tick(now)
        watch.tick(now)
        catchUp.tick(now)
        writer.resume(now)
        writer.tick(now)
        tracker.tick(now)
        inForceLog.tick(now)
        viewKeeper.tick(now)
        vmWatch.tick(now)
        upstreams.tick(now)
        naive?.tick(now)
    }

    /** Takes in the row of the sender of a digest. Returns true when it says that this run is gone. */
    fun heard(from: Peer, row: MemberRow, applied: Long): Boolean {
        val gone = table.merge(row)
        val member = table[from.ref] ?: return gone
        if (row.state == MemberState.GONE) member.ended = true
        if (member.row.state == MemberState.SUSPECT) table.refuted(member, row)
        member.applied = maxOf(member.applied, applied)
        tracker.acknowledged(from.ref, applied)
        return gone
    }

    fun handle(from: Peer, message: FleetMessage) {
        when (message) {
            is FleetMessage.IndirectPing ->
                prober.ping(ctx.now, message.target, onBehalf = from to message.nonce)
            is FleetMessage.IndirectAck -> prober.answeredIndirectly(message.nonce, message.target)
            is FleetMessage.ChangePush -> pushed(message)
            is FleetMessage.ChangeAck -> acknowledged(from, message.sequence)
            is FleetMessage.ChangePull -> ctx.send(from, FleetMessage.Changes(state.since(message.after)))
            is FleetMessage.Changes -> catchUp.received(message.batches)
            is FleetMessage.UpstreamNews -> news(message.rows)
            is FleetMessage.SnapshotPull -> snapshots.page(message.page)?.let { ctx.send(from, it) }
            is FleetMessage.Snapshot -> catchUp.received(from, message)
            is FleetMessage.Ping, is FleetMessage.Ack -> Unit
        }
    }

    private fun pushed(push: FleetMessage.ChangePush) {
        tracker.forward(push)
        push.batches.forEach(state::apply)
        val last = push.batches.maxOfOrNull { it.sequence } ?: return
        table[push.origin.ref]?.let { it.applied = maxOf(it.applied, last) }
        catchUp.tick(ctx.now)
        if (state.applied >= last) ctx.send(push.origin, FleetMessage.ChangeAck(state.applied))
    }

    private fun acknowledged(from: Peer, sequence: Long) {
        table[from.ref]?.let { it.applied = maxOf(it.applied, sequence) }
        tracker.acknowledged(from.ref, sequence)
    }

    fun listed(records: List<VmRecord>) {
        prober.listed(VmWatch.entries(records))
        val before = upstreams.leaving()
        upstreams.listed(records)
        spread(upstreams.leaving() - before)
    }

    /** Takes in news about upstreams and passes on what is new here. */
    fun news(rows: List<UpstreamNewsRow>) = spread(rows.filter(upstreams::news))

    private fun spread(rows: Collection<UpstreamNewsRow>) {
        if (rows.isEmpty()) return
        val targets = table.present().map { it.row.peer }.toMutableList()
        repeat(minOf(FANOUT, targets.size)) {
            val to = targets.removeAt(ctx.random.nextInt(targets.size))
            rows.chunked(Digest.MAX_ROWS).forEach { ctx.send(to, FleetMessage.UpstreamNews(it)) }
        }
    }

    /** Tells some members of a change of this entry's own row at once. */
    fun announce() {
        val now = ctx.now
        table.present().shuffledBy(ctx).take(FANOUT).forEach { prober.ping(now, it.row.peer, decides = false) }
    }

    private fun <T> List<T>.shuffledBy(ctx: NodeContext): List<T> =
        map { it to ctx.random.nextLong() }.sortedBy { it.second }.map { it.first }

    private companion object {
        const val FANOUT = 4
    }
}
