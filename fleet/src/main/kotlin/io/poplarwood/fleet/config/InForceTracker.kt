package io.poplarwood.fleet.config

import io.poplarwood.api.id.EntryRef
import io.poplarwood.fleet.FleetEvent
import io.poplarwood.fleet.NodeContext
import io.poplarwood.fleet.membership.Freshness
import io.poplarwood.fleet.membership.MemberTable
import io.poplarwood.fleet.message.FleetMessage
import io.poplarwood.fleet.message.Peer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Pushes committed batches and finds out when they are accepted and in force everywhere.
 *
 * A batch is accepted once a majority of the view has it. It is in force everywhere once every member has it, or
 * [Freshness.FRESH_FOR] after acceptance: an entry without it has no reading from after the acceptance then, and so is
 * not fresh. An entry that a change of the view removed may be fresh for as long after that change was accepted, so
 * acknowledgements count only after that time.
 */
internal class InForceTracker(
    private val ctx: NodeContext,
    private val table: MemberTable,
    private val state: ConfigState,
    private val everywhere: (Spread) -> Unit,
) {
    private var settledView = 0L
    private var viewSettledAt = Duration.INFINITE
    private val spreads = LinkedHashMap<Long, Spread>()

    fun committed(p: PendingBatch) {
        val spread = Spread(p.batch, p.requests.map { it.request.changeId }, ctx.now)
        spreads[p.batch.sequence] = spread
        push(listOf(p.batch), table.present().map { it.row.peer })
        settle(ctx.now)
    }

    /** [ref] has every change up to [sequence] in force. */
    fun acknowledged(ref: EntryRef, sequence: Long) {
        if (spreads.isEmpty()) return
        spreads.values.forEach { if (it.batch.sequence <= sequence) it.acknowledged += ref }
        settle(ctx.now)
    }

    /** Passes a push on to the entries that its sender left to this one. */
    fun forward(push: FleetMessage.ChangePush) = push(push.batches, push.route, push.origin)

    fun tick(now: Duration) {
        val late = spreads.values.filter { now - it.pushedAt >= REPUSH_AFTER && now - it.committedAt < REPUSH_FOR }
        if (late.isNotEmpty()) {
            late.forEach { it.pushedAt = now }
            val behind = table.present().filter { m -> late.any { m.row.ref !in it.acknowledged } }
            behind.forEach { send(it.row.peer, late.map { l -> l.batch }, Peer(ctx.self, ctx.settings.peerAddress)) }
        }
        settle(now)
    }

    private fun settle(now: Duration) {
        watchView(now)
        val done = ArrayList<Spread>()
        for (spread in spreads.values) {
            if (spread.acceptedAt == null) accept(spread, now)
            val accepted = spread.acceptedAt
            if (accepted != null && (now - accepted >= WAIT_FOR_SILENT || allHave(spread, now))) done += spread
        }
        spreads.values.removeAll { it.acceptedAt == null && now - it.committedAt >= FORGET_AFTER }
        done.forEach { spread ->
            spreads.remove(spread.batch.sequence)
            val took = now - (spread.acceptedAt ?: now)
            spread.changeIds.forEach { ctx.tell(FleetEvent.InForceEverywhere(it, spread.batch.sequence, took)) }
            everywhere(spread)
        }
    }

    private fun accept(spread: Spread, now: Duration) {
        val holders = spread.acknowledged + ctx.self
        val view = state.view
        if (view != null && !view.majority(holders, table.ended())) {
            if (!spread.unconfirmed && now - spread.committedAt >= UNCONFIRMED_AFTER) {
                spread.unconfirmed = true
                settled(spread) { ChangeResult.Unconfirmed(it.version, spread.batch.sequence) }
            }
            return
        }
        spread.acceptedAt = now
        if (!spread.unconfirmed) settled(spread) { ChangeResult.Accepted(it.version, spread.batch.sequence) }
    }

    private fun settled(spread: Spread, result: (ConfigChange) -> ChangeResult) =
        spread.batch.changes.forEach { ctx.tell(FleetEvent.ChangeSettled(it.changeId, result(it))) }

    /** Notes when a majority of the view and of the one before was first seen to have the view. */
    private fun watchView(now: Duration) {
        val view = state.view ?: return
        if (settledView == view.version) return
        viewSettledAt = Duration.INFINITE
        val holders = table.others.filter { it.applied >= state.viewSequence }.mapTo(HashSet()) { it.row.ref }
        if (!view.majority(holders + ctx.self, table.ended())) return
        settledView = view.version
        viewSettledAt = now
    }

    private fun allHave(spread: Spread, now: Duration): Boolean =
        now - viewSettledAt >= WAIT_FOR_SILENT && membersHave(spread)

    private fun membersHave(spread: Spread): Boolean =
        table.present().all { it.row.ref in spread.acknowledged } &&
            state.view?.members.orEmpty().all { it == ctx.self || it in spread.acknowledged }

    private fun push(
        batches: List<ChangeBatch>,
        route: List<Peer>,
        origin: Peer = Peer(ctx.self, ctx.settings.peerAddress),
    ) {
        if (route.isEmpty()) return
        val parts = minOf(FANOUT, route.size)
        for (part in 0 until parts) {
            val share = route.filterIndexed { i, _ -> i % parts == part }
            send(share.first(), batches, origin, share.drop(1))
        }
    }

    private fun send(to: Peer, batches: List<ChangeBatch>, origin: Peer, route: List<Peer> = emptyList()) =
        ctx.send(to, FleetMessage.ChangePush(batches, origin, route))

    private companion object {
        const val FANOUT = 4
        val REPUSH_AFTER = 400.milliseconds
        val REPUSH_FOR = 4.seconds
        val UNCONFIRMED_AFTER = 5.seconds
        val FORGET_AFTER = 600.seconds

        /** Time after which a silent entry is not fresh; the margin covers clocks that run at different rates. */
        val WAIT_FOR_SILENT = Freshness.FRESH_FOR + 50.milliseconds
    }
}
