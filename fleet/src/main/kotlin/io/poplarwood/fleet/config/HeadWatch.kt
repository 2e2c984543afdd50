package io.poplarwood.fleet.config

import io.poplarwood.api.id.EntryRef
import io.poplarwood.fleet.NodeContext
import io.poplarwood.fleet.membership.Freshness
import io.poplarwood.fleet.membership.MemberTable
import io.poplarwood.fleet.membership.Prober
import io.poplarwood.fleet.message.Digest
import io.poplarwood.fleet.message.Peer
import io.poplarwood.fleet.recovery.Backoff
import io.poplarwood.fleet.store.StoreOperation
import io.poplarwood.fleet.store.StoreResult
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Renews this entry's reading of the head: from the store, from peers, or from a majority of the view. */
internal class HeadWatch(
    private val ctx: NodeContext,
    private val table: MemberTable,
    private val prober: Prober,
    private val state: ConfigState,
    private val freshness: Freshness,
) {
    private val backoff = Backoff(ctx.random)
    private var reading = false
    private var readAt = Duration.ZERO
    private var queriedAt = -Duration.INFINITE
    private var round: QuorumRound? = null
    private val roundNonces = HashSet<Long>()
    private var onRoundAnswer: ((QuorumRound) -> Boolean)? = null

    /** True when the last operation on the store failed. */
    var storeDown = false
        private set

    fun tick(now: Duration) {
        val age = freshness.age(now)
        if (!reading && now >= readAt && age >= Freshness.RENEW_AFTER) readStore(now)
        round?.let { if (it.expired(now)) endRound() }
        if (storeDown && round == null && age >= Freshness.RENEW_AFTER) {
            val members = state.view?.members?.size ?: return
            // On average, ROUNDS_PER_TICK of all entries start a round per tick. Once the reading is older than
            // LATE_AGE, each entry starts one with LATE_ROUND_PROBABILITY.
            val probability = if (age < LATE_AGE) ROUNDS_PER_TICK / members else LATE_ROUND_PROBABILITY
            if (ctx.random.nextDouble() < probability) startRound(now)
        }
    }

    /** Reads the head row now, independent of the age of the latest reading. */
    fun readNow() {
        if (!reading) readStore(ctx.now)
    }

    /** Runs a quorum round, unless one is running, and calls [onAnswer] after every answer until it returns true. */
    fun runRound(onAnswer: (QuorumRound) -> Boolean) {
        if (round != null) return
        onRoundAnswer = onAnswer
        startRound(ctx.now)
    }

    /** Evaluates the [digest] of an ack to the ping with [nonce], sent at [sentAt]. */
    fun onAck(from: EntryRef, nonce: Long, sentAt: Duration, digest: Digest) {
        digest.reading?.let { r ->
            if (r.sequence >= 0 && r.ageMs >= 0) {
                freshness.record(r.sequence, sentAt - r.ageMs.milliseconds, state.applied)
            }
        }
        if (roundNonces.remove(nonce)) {
            round?.recordAnswer(from, digest.applied)
            evaluateRound()
        }
    }

    /**
     * Pings [peer] when its [digest] announces a reading that is newer by [MIN_AGE_GAIN]. Only the ack to an own ping
     * bounds the age of a reading, so the announced reading itself is not used.
     */
    fun onPing(peer: Peer, digest: Digest) {
        val peerAge = digest.reading?.ageMs?.milliseconds ?: return
        val now = ctx.now
        val worthwhile = freshness.age(now) >= Freshness.RENEW_AFTER / 2 && peerAge + MIN_AGE_GAIN < freshness.age(now)
        if (!worthwhile || now - queriedAt < QUERY_INTERVAL) return
        queriedAt = now
        prober.ping(now, peer, affectsState = false)
    }

    private fun readStore(now: Duration) {
        reading = true
        ctx.perform(StoreOperation.Read(ConfigCodec.HEAD)) { result ->
            reading = false
            if (result is StoreResult.ReadRow) {
                storeDown = false
                backoff.reset()
                readAt = ctx.now + READ_INTERVAL * (1 + ctx.random.nextDouble())
                freshness.record(result.row?.version ?: 0, now, state.applied)
            } else {
                storeDown = true
                readAt = ctx.now + backoff.recordFailure()
            }
        }
    }

    private fun startRound(now: Duration) {
        val view = state.view ?: return
        val started = QuorumRound(view, now)
        round = started
        roundNonces.clear()
        started.recordAnswer(ctx.self, state.applied)
        members(view).forEach { roundNonces += prober.ping(now, it, affectsState = false) }
        evaluateRound()
    }

    private fun evaluateRound() {
        val current = round ?: return
        val sequence = current.sequence()
        sequence?.let { freshness.record(it, current.startedAt, state.applied) }
        val onAnswer = onRoundAnswer
        if (onAnswer != null) {
            if (onAnswer(current)) endRound()
        } else if (sequence != null) {
            endRound()
            state.view?.let { v -> members(v).forEach { prober.ping(ctx.now, it, affectsState = false) } }
        }
    }

    private fun endRound() {
        round = null
        onRoundAnswer = null
        roundNonces.clear()
    }

    private fun members(view: FleetView): List<Peer> =
        (view.members + view.previous).distinct().mapNotNull { table[it]?.row?.peer }

    private companion object {
        val READ_INTERVAL = 200.milliseconds
        val LATE_AGE = 2_000.milliseconds
        const val ROUNDS_PER_TICK = 2.0
        const val LATE_ROUND_PROBABILITY = 0.3
        val MIN_AGE_GAIN = 300.milliseconds
        val QUERY_INTERVAL = 200.milliseconds
    }
}
