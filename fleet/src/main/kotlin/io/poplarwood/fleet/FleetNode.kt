package io.poplarwood.fleet

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.Incarnation
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.Randomness
import io.poplarwood.api.time.Ticker
import io.poplarwood.fleet.config.ChangeRequest
import io.poplarwood.fleet.config.DocumentInForce
import io.poplarwood.fleet.config.FleetView
import io.poplarwood.fleet.directory.Directory
import io.poplarwood.fleet.directory.DirectoryAnswer
import io.poplarwood.fleet.membership.MemberRow
import io.poplarwood.fleet.membership.MemberState
import io.poplarwood.fleet.message.Digest
import io.poplarwood.fleet.message.FleetMessage
import io.poplarwood.fleet.message.Peer
import io.poplarwood.fleet.store.StoreAnswer
import io.poplarwood.fleet.upstream.FleetUpstream
import io.poplarwood.fleet.upstream.FleetUpstreamState
import io.poplarwood.fleet.upstream.UpstreamNewsRow
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What one entry shares with the others: membership, configuration, upstream states and the directory.
 *
 * A pure state machine. Every input returns the outputs that its driver must carry out, in order. Not thread-safe.
 *
 * @param clock wall clock for times that people read
 */
class FleetNode(settings: FleetSettings, ticker: Ticker, clock: Clock, random: Randomness) {
    private val ctx = NodeContext(settings, ticker, clock, random)
    private val parts = NodeParts(ctx, ::digest)
    private val directory = Directory(random)
    private var startedAt: Duration? = null
    private var tickedAt: Duration? = null
    private var wasFresh = false
    private var readyAsked = false

    /** This run of the entry; changes when the others held the former run for gone. */
    val self: EntryRef get() = ctx.self

    /** The row of this entry. */
    val row: MemberRow get() = parts.table.self

    /** Rows of this entry and of all others that are not gone. */
    val members: List<MemberRow> get() = listOf(row) + parts.table.present().map { it.row }

    /** The agreed view; null before there is one. */
    val view: FleetView? get() = parts.state.view

    /** Sequence up to which every change is in force here; -1 before the first documents are known. */
    val applied: Long get() = parts.state.applied

    /** Documents in force here. */
    val documents: Collection<DocumentInForce> get() = parts.state.all

    /** True while the documents in force may be used for new work. */
    val fresh: Boolean get() = isFresh(ctx.now)

    /** Operations on the store that wait for the budget or for their answers. */
    val storeBacklog: Int get() = ctx.storeBacklog

    /** Counters of what this node refused or had to repeat. */
    val counters: FleetCounters
        get() = FleetCounters(parts.writer.conflicts, parts.catchUp.refusedSnapshots, parts.upstreams.doubtfulLists)

    /** Sequence that [ref] last reported to have in force; -1 when it is not known. */
    fun appliedBy(ref: EntryRef): Long = if (ref == ctx.self) applied else parts.table[ref]?.applied ?: -1

    /** The document of [service] in force here. */
    fun document(service: ServiceName): DocumentInForce? = parts.state[service]

    /** Upstreams of [service] that are not gone. */
    fun upstreams(service: ServiceName): List<FleetUpstream> = parts.upstreams.of(service)

    /** Entries that a caller at [callerAddress] should use. */
    fun entriesFor(service: ServiceName, zone: Zone?, callerAddress: String): DirectoryAnswer =
        directory.answer(members, service, zone, callerAddress)

    /** Passes 100 ms, or more after a pause. */
    fun tick(): List<FleetOutput> {
        val now = ctx.now
        if (startedAt == null) startedAt = now
        val gap = tickedAt?.let { now - it } ?: Duration.ZERO
        tickedAt = now
        if (gap > PAUSE_GAP) paused(now, gap)
        parts.tick(now)
        return finish(now)
    }

    /** Takes in a message from [from], whose identity the link has verified. */
    fun receive(from: Peer, message: FleetMessage): List<FleetOutput> {
        if (from.ref == ctx.self) return emptyList()
        if (parts.table[from.ref]?.row?.state == MemberState.GONE) {
            // The sender learns from the digest that it is gone and returns under a new incarnation.
            if (message is FleetMessage.Ping) ctx.send(from, FleetMessage.Ping(NO_ANSWER, digestWith(from.ref)))
        } else {
            handle(from, message)
        }
        return finish(ctx.now)
    }

    /** Takes in the answer to [FleetOutput.Perform] with [id]. */
    fun answered(id: Long, answer: StoreAnswer): List<FleetOutput> {
        ctx.answered(id, answer)
        return finish(ctx.now)
    }

    /** Starts an operator's change; the outcome follows as [FleetEvent.ChangeSettled]. */
    fun change(request: ChangeRequest): List<FleetOutput> {
        parts.writer.submit(request)
        return finish(ctx.now)
    }

    /** The upstream [id] of [service] said that it is draining. */
    fun draining(id: UpstreamId, service: ServiceName): List<FleetOutput> {
        parts.news(listOf(UpstreamNewsRow(id, service, FleetUpstreamState.LEAVING)))
        return finish(ctx.now)
    }

    /** Whether the entry can serve; it is named to callers while it is also fresh. */
    fun ready(ready: Boolean): List<FleetOutput> {
        readyAsked = ready
        return finish(ctx.now)
    }

    /** Reports the utilisation of the entry, 0..1; small changes are not spread. */
    fun load(load: Double): List<FleetOutput> {
        if (kotlin.math.abs(load - row.load) >= LOAD_STEP) parts.table.updateSelf { it.copy(load = load) }
        return finish(ctx.now)
    }

    /** Announces the stop: the entry is no longer named, and takes part until [end]. */
    fun leave(): List<FleetOutput> {
        parts.table.updateSelf { it.copy(state = MemberState.LEAVING, ready = false) }
        parts.announce()
        return finish(ctx.now)
    }

    /** Tells the others that this run has ended. */
    fun end(): List<FleetOutput> {
        parts.table.updateSelf { it.copy(state = MemberState.GONE, ready = false) }
        parts.announce()
        return finish(ctx.now)
    }

    private fun handle(from: Peer, message: FleetMessage) {
        when (message) {
            is FleetMessage.Ping -> {
                heard(from, message.digest)
                if (message.nonce != NO_ANSWER) ctx.send(from, FleetMessage.Ack(message.nonce, digest()))
                parts.watch.pinged(from, message.digest)
            }
            is FleetMessage.Ack -> {
                val probe = parts.prober.answered(from, message.nonce)
                heard(from, message.digest)
                if (probe != null) parts.watch.answered(from.ref, message.nonce, probe.sentAt, message.digest)
            }
            else -> parts.handle(from, message)
        }
    }

    private fun heard(from: Peer, digest: Digest) {
        if (digest.self.ref != from.ref) return
        var gone = parts.heard(from, digest.self, digest.applied)
        digest.members.forEach { if (parts.table.merge(it)) gone = true }
        parts.news(digest.upstreams)
        if (gone && row.state != MemberState.GONE) rename()
    }

    private fun rename() {
        val started = ctx.clock.now().toEpochMilliseconds()
        val next = EntryRef(ctx.self.id, Incarnation(started, ctx.random.nextLong()))
        parts.table.rename(next)
        ctx.self = next
        parts.freshness.forget()
        ctx.tell(FleetEvent.Renamed(next))
    }

    private fun paused(now: Duration, gap: Duration) {
        parts.prober.forget()
        parts.table.restartSuspicions(now)
        parts.freshness.forget()
        ctx.tell(FleetEvent.Paused(gap))
    }

    private fun finish(now: Duration): List<FleetOutput> {
        val fresh = isFresh(now)
        if (fresh != wasFresh) ctx.tell(FleetEvent.Freshness(fresh))
        wasFresh = fresh
        val leaving = row.state == MemberState.LEAVING || row.state == MemberState.GONE
        parts.table.updateSelf { it.copy(ready = readyAsked && fresh && !leaving) }
        return ctx.drain()
    }

    private fun isFresh(now: Duration): Boolean {
        val started = startedAt ?: return false
        // An entry outside the view is waited for only if it is known to the accepting entry, so it takes work only
        // while the store, and with it all changes, seems down.
        val awaited = parts.state.view?.let { ctx.self in it.members || parts.watch.storeDown } ?: true
        return parts.state.applied >= 0 && now - started >= JOIN_HOLD && awaited && parts.freshness.fresh(now)
    }

    private fun digest(): Digest = Digest(
        self = row,
        applied = parts.state.applied,
        reading = parts.freshness.reading(ctx.now),
        members = parts.table.digestRows(),
        upstreams = parts.upstreams.digestRows(),
    )

    private fun digestWith(ref: EntryRef): Digest {
        val digest = digest()
        val gone = parts.table[ref]?.row ?: return digest
        return digest.copy(members = digest.members.take(Digest.MAX_ROWS - 1) + gone)
    }

    private companion object {
        /** Ticks come every 100 ms; a longer gap than this means that the process did not run. */
        val PAUSE_GAP = 1.seconds

        /** Time for a new entry to become known to all, so that a change waits for its acknowledgement. */
        val JOIN_HOLD = 3.seconds
        const val LOAD_STEP = 0.05
        const val NO_ANSWER = 0L
    }
}
