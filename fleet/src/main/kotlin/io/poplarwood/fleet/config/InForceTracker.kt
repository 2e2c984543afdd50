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
 * Pushes committed batches to all entries and determines when a batch is accepted and when it is in force everywhere.
 *
 * A batch is accepted once a majority of the view has it in force. It is in force everywhere once every member has
 * acknowledged it, or [Freshness.READING_VALIDITY] after acceptance at the latest: by then, no reading from before the
 * acceptance is valid, so an entry without the batch is not fresh. An entry that was removed from the view may stay
 * fresh for the same time after the new view was confirmed, so acknowledgements by all members count only after that
 * time.
 */
internal class InForceTracker(
    private val ctx: NodeContext,
    private val table: MemberTable,
    private val state: ConfigState,
    private val onInForceEverywhere: (Rollout) -> Unit,
) {
    private var confirmedView = 0L
    private var viewConfirmedAt = Duration.INFINITE
    private val rollouts = LinkedHashMap<Long, Rollout>()

    fun onCommitted(p: PendingBatch) {
        val rollout = Rollout(p.batch, p.requests.map { it.request.changeId }, ctx.now)
        rollouts[p.batch.sequence] = rollout
        push(listOf(p.batch), table.present().map { it.row.peer })
        evaluate(ctx.now)
    }

    /** Records that [ref] has every change up to [sequence] in force. */
    fun onAcknowledged(ref: EntryRef, sequence: Long) {
        if (rollouts.isEmpty()) return
        rollouts.values.forEach { if (it.batch.sequence <= sequence) it.acknowledged += ref }
        evaluate(ctx.now)
    }

    /** Forwards a push to the entries of its route. */
    fun forward(push: FleetMessage.ChangePush) = push(push.batches, push.route, push.origin)

    fun tick(now: Duration) {
        val late = rollouts.values
            .filter { now - it.pushedAt >= REPUSH_INTERVAL && now - it.committedAt < REPUSH_TIMEOUT }
        if (late.isNotEmpty()) {
            late.forEach { it.pushedAt = now }
            val behind = table.present().filter { m -> late.any { m.row.ref !in it.acknowledged } }
            behind.forEach { send(it.row.peer, late.map { l -> l.batch }, Peer(ctx.self, ctx.settings.peerAddress)) }
        }
        evaluate(now)
    }

    private fun evaluate(now: Duration) {
        trackView(now)
        val done = ArrayList<Rollout>()
        for (rollout in rollouts.values) {
            if (rollout.acceptedAt == null) checkAccepted(rollout, now)
            val accepted = rollout.acceptedAt
            if (accepted != null && (now - accepted >= STALE_AFTER || inForceEverywhere(rollout, now))) done += rollout
        }
        rollouts.values.removeAll { it.acceptedAt == null && now - it.committedAt >= UNACCEPTED_RETENTION }
        done.forEach { rollout ->
            rollouts.remove(rollout.batch.sequence)
            val took = now - (rollout.acceptedAt ?: now)
            rollout.changeIds.forEach { ctx.emit(FleetEvent.InForceEverywhere(it, rollout.batch.sequence, took)) }
            onInForceEverywhere(rollout)
        }
    }

    private fun checkAccepted(rollout: Rollout, now: Duration) {
        val holders = rollout.acknowledged + ctx.self
        val view = state.view
        if (view != null && !view.hasMajority(holders, table.endedRuns())) {
            if (!rollout.unconfirmed && now - rollout.committedAt >= UNCONFIRMED_AFTER) {
                rollout.unconfirmed = true
                reportResult(rollout) { ChangeResult.Unconfirmed(it.version, rollout.batch.sequence) }
            }
            return
        }
        rollout.acceptedAt = now
        if (!rollout.unconfirmed) reportResult(rollout) { ChangeResult.Accepted(it.version, rollout.batch.sequence) }
    }

    private fun reportResult(rollout: Rollout, result: (ConfigChange) -> ChangeResult) =
        rollout.batch.changes.forEach { ctx.emit(FleetEvent.ChangeCompleted(it.changeId, result(it))) }

    /** Records when a majority of the current and of the previous members was first known to have the current view. */
    private fun trackView(now: Duration) {
        val view = state.view ?: return
        if (confirmedView == view.version) return
        viewConfirmedAt = Duration.INFINITE
        val holders = table.others.filter { it.applied >= state.viewSequence }.mapTo(HashSet()) { it.row.ref }
        if (!view.hasMajority(holders + ctx.self, table.endedRuns())) return
        confirmedView = view.version
        viewConfirmedAt = now
    }

    private fun inForceEverywhere(rollout: Rollout, now: Duration): Boolean =
        now - viewConfirmedAt >= STALE_AFTER && acknowledgedByAll(rollout)

    private fun acknowledgedByAll(rollout: Rollout): Boolean =
        table.present().all { it.row.ref in rollout.acknowledged } &&
            state.view?.members.orEmpty().all { it == ctx.self || it in rollout.acknowledged }

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
        /** Direct receivers of a push; each forwards to an equal part of the other entries. */
        const val FANOUT = 4
        val REPUSH_INTERVAL = 400.milliseconds
        val REPUSH_TIMEOUT = 4.seconds
        val UNCONFIRMED_AFTER = 5.seconds

        /** Time after which a batch that was never accepted is no longer tracked. */
        val UNACCEPTED_RETENTION = 600.seconds

        /** Time after which an entry without a new reading is not fresh; the margin covers differing clock rates. */
        val STALE_AFTER = Freshness.READING_VALIDITY + 50.milliseconds
    }
}
