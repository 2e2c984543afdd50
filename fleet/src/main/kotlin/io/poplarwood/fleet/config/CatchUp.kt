package io.poplarwood.fleet.config

import io.poplarwood.fleet.NodeContext
import io.poplarwood.fleet.membership.Freshness
import io.poplarwood.fleet.membership.MemberState
import io.poplarwood.fleet.membership.MemberTable
import io.poplarwood.fleet.message.FleetMessage
import io.poplarwood.fleet.message.Peer
import io.poplarwood.fleet.recovery.Backoff
import io.poplarwood.fleet.snapshot.SnapshotReader
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Fetches changes that are missing here: from a peer, or from the store if that is not possible. */
internal class CatchUp(
    private val ctx: NodeContext,
    private val table: MemberTable,
    private val state: ConfigState,
    private val freshness: Freshness,
) {
    private val backoff = Backoff(ctx.random)
    private val tableReader = TableReader(ctx, state)
    private val snapshotReader = SnapshotReader(ctx, state) { freshness.head }
    private var pulledAt: Duration? = null
    private var failures = 0
    private var nextTableReadAt = Duration.ZERO

    /** Number of snapshot pages that were refused. */
    val refusedSnapshots: Int get() = snapshotReader.refused

    /** True while a change is known to exist that is not in force here. */
    val behind: Boolean get() = targetSequence() > state.applied

    fun tick(now: Duration) {
        if (!behind && state.applied >= 0) {
            failures = 0
            pulledAt = null
            return
        }
        val pulled = pulledAt
        if (pulled != null && now - pulled >= PULL_TIMEOUT) {
            pulledAt = null
            failures++
        }
        if (pulledAt != null || tableReader.running) return
        val peer = choosePeer()
        if (peer != null && failures < MAX_FAILED_PULLS) pull(now, peer) else readTable(now)
    }

    /** Applies [batches] from a peer and continues. */
    fun onChanges(batches: List<ChangeBatch>) {
        pulledAt = null
        val before = state.applied
        batches.forEach(state::apply)
        if (state.applied > before) failures = 0 else failures++
        tick(ctx.now)
    }

    /** Handles a snapshot page from [peer] and requests the next page. */
    fun onSnapshotPage(peer: Peer, message: FleetMessage.Snapshot) {
        val next = snapshotReader.onPage(message)
        if (next != null) {
            pulledAt = ctx.now
            ctx.send(peer, FleetMessage.SnapshotPull(next))
        } else {
            pulledAt = null
            if (state.applied < 0) failures++
        }
    }

    private fun pull(now: Duration, peer: Peer) {
        pulledAt = now
        if (state.applied < 0) {
            snapshotReader.restart()
            ctx.send(peer, FleetMessage.SnapshotPull(0))
        } else {
            ctx.send(peer, FleetMessage.ChangePull(state.applied))
        }
    }

    private fun readTable(now: Duration) {
        if (now < nextTableReadAt) return
        tableReader.run(targetSequence()) { ok ->
            failures = 0
            if (ok) backoff.reset() else nextTableReadAt = ctx.now + backoff.recordFailure()
        }
    }

    private fun targetSequence(): Long = maxOf(freshness.head, table.others.maxOfOrNull { it.applied } ?: -1L)

    private fun choosePeer(): Peer? {
        val ahead = table.others.filter { it.row.state != MemberState.GONE && it.applied > state.applied }
        return if (ahead.isEmpty()) null else ahead[ctx.random.nextInt(ahead.size)].row.peer
    }

    private companion object {
        val PULL_TIMEOUT = 400.milliseconds
        const val MAX_FAILED_PULLS = 2
    }
}
