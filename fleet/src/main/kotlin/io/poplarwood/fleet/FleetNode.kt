package io.poplarwood.fleet

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.Incarnation
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.RandomSource
import io.poplarwood.api.time.Ticker
import io.poplarwood.fleet.config.ChangeRequest
import io.poplarwood.fleet.config.DocumentInForce
import io.poplarwood.fleet.config.FleetView
import io.poplarwood.fleet.directory.Directory
import io.poplarwood.fleet.directory.DirectoryReply
import io.poplarwood.fleet.membership.MemberRow
import io.poplarwood.fleet.membership.MemberState
import io.poplarwood.fleet.message.Digest
import io.poplarwood.fleet.message.FleetMessage
import io.poplarwood.fleet.message.Peer
import io.poplarwood.fleet.store.StoreResult
import io.poplarwood.fleet.upstream.FleetUpstream
import io.poplarwood.fleet.upstream.FleetUpstreamState
import io.poplarwood.fleet.upstream.UpstreamStateRow
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The state that entries replicate: membership, configuration, upstream states and the directory.
 *
 * A pure state machine: every input returns the outputs that the driver must execute in order. Not thread-safe.
 *
 * @param clock wall clock for stored and displayed times; all intervals are measured by [ticker]
 */
class FleetNode(settings: FleetSettings, ticker: Ticker, clock: Clock, random: RandomSource) {
    private val ctx = NodeContext(settings, ticker, clock, random)
    private val components = NodeComponents(ctx, ::digest)
    private val directory = Directory(random)
    private var startedAt: Duration? = null
    private var tickedAt: Duration? = null
    private var wasFresh = false
    private var readyRequested = false

    /** This run of the entry; changes when other entries have declared the former run gone. */
    val self: EntryRef get() = ctx.self

    /** Membership row of this entry. */
    val row: MemberRow get() = components.table.self

    /** Rows of this entry and of all other entries that are not gone. */
    val members: List<MemberRow> get() = listOf(row) + components.table.present().map { it.row }

    /** The agreed view; null until the first one is known. */
    val view: FleetView? get() = components.state.view

    /** Sequence up to which every change is in force here; -1 before the first documents are known. */
    val applied: Long get() = components.state.applied

    /** Documents in force at this entry. */
    val documents: Collection<DocumentInForce> get() = components.state.all

    /** True while the documents in force are recent enough for new requests. */
    val fresh: Boolean get() = isFresh(ctx.now)

    /** Number of store operations that are queued or in flight. */
    val storeBacklog: Int get() = ctx.storeBacklog

    val counters: FleetCounters
        get() = FleetCounters(
            components.writer.conflicts,
            components.catchUp.refusedSnapshots,
            components.upstreams.ignoredVmLists,
        )

    /** Sequence up to which [ref] has reported every change as in force; -1 when unknown. */
    fun appliedBy(ref: EntryRef): Long = if (ref == ctx.self) applied else components.table[ref]?.applied ?: -1

    /** The document of [service] in force at this entry; null when there is none. */
    fun document(service: ServiceName): DocumentInForce? = components.state[service]

    /** Upstreams of [service] that are not gone. */
    fun upstreams(service: ServiceName): List<FleetUpstream> = components.upstreams.of(service)

    /** Entries that a caller at [callerAddress] should use. */
    fun entriesFor(service: ServiceName, zone: Zone?, callerAddress: String): DirectoryReply =
        directory.reply(members, service, zone, callerAddress)

    /** Must be called every 100 ms; a gap above [MAX_TICK_GAP] is treated as a pause of the process. */
    fun tick(): List<FleetOutput> {
        val now = ctx.now
        if (startedAt == null) startedAt = now
        val gap = tickedAt?.let { now - it } ?: Duration.ZERO
        tickedAt = now
        if (gap > MAX_TICK_GAP) handlePause(now, gap)
        components.tick(now)
        return finishInput(now)
    }

    /** Handles a message from [from], whose identity the link has authenticated. */
    fun receive(from: Peer, message: FleetMessage): List<FleetOutput> {
        if (from.ref == ctx.self) return emptyList()
        if (components.table[from.ref]?.row?.state == MemberState.GONE) {
            // The digest states that the sender is gone, on which the sender continues under a new incarnation.
            if (message is FleetMessage.Ping) ctx.send(from, FleetMessage.Ping(NO_REPLY_NONCE, digestWith(from.ref)))
        } else {
            handle(from, message)
        }
        return finishInput(ctx.now)
    }

    /** Handles the result of the [FleetOutput.Perform] with [id]. */
    fun storeCompleted(id: Long, result: StoreResult): List<FleetOutput> {
        ctx.storeCompleted(id, result)
        return finishInput(ctx.now)
    }

    /** Starts a change by an operator; its result follows as [FleetEvent.ChangeCompleted]. */
    fun change(request: ChangeRequest): List<FleetOutput> {
        components.writer.submit(request)
        return finishInput(ctx.now)
    }

    /** Handles the announcement of upstream [id] of [service] that it is draining. */
    fun draining(id: UpstreamId, service: ServiceName): List<FleetOutput> {
        components.mergeUpstreams(listOf(UpstreamStateRow(id, service, FleetUpstreamState.LEAVING)))
        return finishInput(ctx.now)
    }

    /** Sets whether the entry can serve requests; directory replies name the entry while it is also fresh. */
    fun ready(ready: Boolean): List<FleetOutput> {
        readyRequested = ready
        return finishInput(ctx.now)
    }

    /** Reports the utilisation of the entry, 0..1; changes below [LOAD_STEP] are not sent to other entries. */
    fun load(load: Double): List<FleetOutput> {
        if (kotlin.math.abs(load - row.load) >= LOAD_STEP) components.table.updateSelf { it.copy(load = load) }
        return finishInput(ctx.now)
    }

    /** Announces the shutdown: directory replies no longer name the entry, which remains a member until [end]. */
    fun leave(): List<FleetOutput> {
        components.table.updateSelf { it.copy(state = MemberState.LEAVING, ready = false) }
        components.announceSelf()
        return finishInput(ctx.now)
    }

    /** Announces to other entries that this run has ended. */
    fun end(): List<FleetOutput> {
        components.table.updateSelf { it.copy(state = MemberState.GONE, ready = false) }
        components.announceSelf()
        return finishInput(ctx.now)
    }

    private fun handle(from: Peer, message: FleetMessage) {
        when (message) {
            is FleetMessage.Ping -> {
                mergeDigest(from, message.digest)
                if (message.nonce != NO_REPLY_NONCE) ctx.send(from, FleetMessage.Ack(message.nonce, digest()))
                components.headWatch.onPing(from, message.digest)
            }
            is FleetMessage.Ack -> {
                val probe = components.prober.onAck(from, message.nonce)
                mergeDigest(from, message.digest)
                if (probe != null) components.headWatch.onAck(from.ref, message.nonce, probe.sentAt, message.digest)
            }
            else -> components.handle(from, message)
        }
    }

    private fun mergeDigest(from: Peer, digest: Digest) {
        if (digest.self.ref != from.ref) return
        var gone = components.mergeSender(from, digest.self, digest.applied)
        digest.members.forEach { if (components.table.merge(it)) gone = true }
        components.mergeUpstreams(digest.upstreams)
        if (gone && row.state != MemberState.GONE) startNewIncarnation()
    }

    private fun startNewIncarnation() {
        val started = ctx.clock.now().toEpochMilliseconds()
        val next = EntryRef(ctx.self.id, Incarnation(started, ctx.random.nextLong()))
        components.table.adoptIncarnation(next)
        ctx.self = next
        components.freshness.reset()
        ctx.emit(FleetEvent.Renamed(next))
    }

    private fun handlePause(now: Duration, gap: Duration) {
        components.prober.reset()
        components.table.restartSuspectTimers(now)
        components.freshness.reset()
        ctx.emit(FleetEvent.Paused(gap))
    }

    private fun finishInput(now: Duration): List<FleetOutput> {
        val fresh = isFresh(now)
        if (fresh != wasFresh) ctx.emit(FleetEvent.Freshness(fresh))
        wasFresh = fresh
        val leaving = row.state == MemberState.LEAVING || row.state == MemberState.GONE
        components.table.updateSelf { it.copy(ready = readyRequested && fresh && !leaving) }
        return ctx.takeOutputs()
    }

    private fun isFresh(now: Duration): Boolean {
        val started = startedAt ?: return false
        // The entry that accepts a change waits for an entry outside the view only if that entry is known to it. An
        // entry outside the view therefore accepts requests only while the store seems down and no change is written.
        val awaited = components.state.view?.let { ctx.self in it.members || components.headWatch.storeDown } ?: true
        return components.state.applied >= 0 && now - started >= JOIN_DELAY && awaited &&
            components.freshness.isFresh(now)
    }

    private fun digest(): Digest = Digest(
        self = row,
        applied = components.state.applied,
        reading = components.freshness.shareableReading(ctx.now),
        members = components.table.digestRows(),
        upstreams = components.upstreams.digestRows(),
    )

    private fun digestWith(ref: EntryRef): Digest {
        val digest = digest()
        val gone = components.table[ref]?.row ?: return digest
        return digest.copy(members = digest.members.take(Digest.MAX_ROWS - 1) + gone)
    }

    private companion object {
        /** Gap between ticks above which the process is considered to have been paused; ticks come every 100 ms. */
        val MAX_TICK_GAP = 1.seconds

        /** Time for all entries to learn of a new entry, so that changes wait for its acknowledgement. */
        val JOIN_DELAY = 3.seconds

        /** Smallest change of the utilisation that is sent to other entries. */
        const val LOAD_STEP = 0.05

        /** Nonce of a ping that is not to be answered. */
        const val NO_REPLY_NONCE = 0L
    }
}
