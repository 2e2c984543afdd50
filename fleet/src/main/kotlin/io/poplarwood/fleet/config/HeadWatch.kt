package io.poplarwood.fleet.config

import io.poplarwood.api.id.EntryRef
import io.poplarwood.fleet.NodeContext
import io.poplarwood.fleet.membership.Freshness
import io.poplarwood.fleet.membership.MemberTable
import io.poplarwood.fleet.membership.Prober
import io.poplarwood.fleet.message.Digest
import io.poplarwood.fleet.message.Peer
import io.poplarwood.fleet.recovery.Backoff
import io.poplarwood.fleet.store.StoreAnswer
import io.poplarwood.fleet.store.StoreOperation
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Keeps this entry's reading of the head young: from the store, from peers, or from a majority of the view. */
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
    private var askedAt = -Duration.INFINITE
    private var round: QuorumRound? = null
    private val roundPings = HashSet<Long>()
    private var afterRound: ((QuorumRound) -> Boolean)? = null

    /** True when the last operation on the store failed. */
    var storeDown = false
        private set

    fun tick(now: Duration) {
        val age = freshness.age(now)
        if (!reading && now >= readAt && age >= Freshness.RENEW_AFTER) readStore(now)
        round?.let { if (it.expired(now)) endRound() }
        if (storeDown && round == null && age >= Freshness.RENEW_AFTER) {
            val members = state.view?.members?.size ?: return
            // About two of all entries begin a round per tick; when that has not helped for a while, most do.
            val chance = if (age < LATE) STARTERS / members else LATE_CHANCE
            if (ctx.random.nextDouble() < chance) startRound(now)
        }
    }

    /** Reads the head row now, whatever the age of the latest reading. */
    fun readNow() {
        if (!reading) readStore(ctx.now)
    }

    /** Runs a round and calls [then] after every answer until it returns true; used before the view changes. */
    fun confirm(then: (QuorumRound) -> Boolean) {
        if (round != null) return
        afterRound = then
        startRound(ctx.now)
    }

    /** Evaluates the digest of an answer to a ping sent at [sentAt]. */
    fun answered(from: EntryRef, nonce: Long, sentAt: Duration, digest: Digest) {
        digest.reading?.let { r ->
            if (r.sequence >= 0 && r.ageMs >= 0) {
                freshness.read(r.sequence, sentAt - r.ageMs.milliseconds, state.applied)
            }
        }
        if (roundPings.remove(nonce)) {
            round?.heard(from, digest.applied)
            settleRound()
        }
    }

    /** A pinging [peer] announces its reading; its age is only known from an answer, so the peer is asked. */
    fun pinged(peer: Peer, digest: Digest) {
        val theirs = digest.reading?.ageMs?.milliseconds ?: return
        val now = ctx.now
        val worthwhile = freshness.age(now) >= Freshness.RENEW_AFTER / 2 && theirs + ASK_GAIN < freshness.age(now)
        if (!worthwhile || now - askedAt < ASK_PAUSE) return
        askedAt = now
        prober.ping(now, peer, decides = false)
    }

    private fun readStore(now: Duration) {
        reading = true
        ctx.store(StoreOperation.Read(ConfigCodec.HEAD)) { answer ->
            reading = false
            if (answer is StoreAnswer.ReadRow) {
                storeDown = false
                backoff.succeeded()
                readAt = ctx.now + READ_PAUSE * (1 + ctx.random.nextDouble())
                freshness.read(answer.row?.version ?: 0, now, state.applied)
            } else {
                storeDown = true
                readAt = ctx.now + backoff.failed()
            }
        }
    }

    private fun startRound(now: Duration) {
        val view = state.view ?: return
        val started = QuorumRound(view, now)
        round = started
        roundPings.clear()
        started.heard(ctx.self, state.applied)
        members(view).forEach { roundPings += prober.ping(now, it, decides = false) }
        settleRound()
    }

    private fun settleRound() {
        val current = round ?: return
        val sequence = current.sequence()
        sequence?.let { freshness.read(it, current.startedAt, state.applied) }
        val then = afterRound
        if (then != null) {
            if (then(current)) endRound()
        } else if (sequence != null) {
            endRound()
            state.view?.let { v -> members(v).forEach { prober.ping(ctx.now, it, decides = false) } }
        }
    }

    private fun endRound() {
        round = null
        afterRound = null
        roundPings.clear()
    }

    private fun members(view: FleetView): List<Peer> =
        (view.members + view.previous).distinct().mapNotNull { table[it]?.row?.peer }

    private companion object {
        val READ_PAUSE = 200.milliseconds
        val LATE = 2_000.milliseconds
        const val STARTERS = 2.0
        const val LATE_CHANCE = 0.3
        val ASK_GAIN = 300.milliseconds
        val ASK_PAUSE = 200.milliseconds
    }
}
