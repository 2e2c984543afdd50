package io.poplarwood.gateway.peer

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.configuration.ConfigurationVersion
import io.poplarwood.gateway.decision.crash.CrashSuspects
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.store.FollowCoordinator
import io.poplarwood.gateway.store.FollowMode
import io.poplarwood.gateway.store.QueryPacing
import io.poplarwood.gateway.store.RowSnapshot
import io.poplarwood.gateway.store.StateReplica
import io.poplarwood.gateway.store.StoreVersion
import io.poplarwood.gateway.store.Topic
import kotlinx.coroutines.CompletableDeferred
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Sends the state of this entry to other entries and merges what they send.
 *
 * @param send sends a message to each of the given `ip:port`; delivery is not guaranteed
 * @param readsPerSecond read calls per second to the store that all entries together may make
 * @param pump called after a message that may allow queued requests to proceed
 */
internal class PeerGossip(
    private val send: (PeerMessage, List<String>) -> Unit,
    private val self: String,
    private val record: PeerRecord,
    private val table: PeerTable,
    private val roles: ActiveEntries,
    private val book: StateReplica,
    crashes: CrashSuspects,
    private val ticker: Ticker,
    private val log: EventLog,
    private val readsPerSecond: Double,
    private val pump: () -> Unit,
) : FollowCoordinator {
    private val startedAt = ticker.now()
    private val updateParts = UpstreamUpdateParts(self)
    private val schedule = HeartbeatPlan(record.zone, table, roles)
    private val lateHeartbeats = LateHeartbeatLog(log)

    /** Exchange of the requests that upstreams ended under. */
    val crashGossip = CrashGossip(self, crashes, table, ticker, log, send)

    /** Whether this entry takes requests, as announced to peers. */
    var serving: Boolean = false

    /** Whether a planned stop of this entry has begun. */
    var stopping: Boolean = false

    private val answers = StoreAnswers(table, ticker)

    /** Whether the store answered the last call of this entry for each topic. */
    val storeAnswers: Boolean get() = answers.toThisEntry

    /** Whether the store is known to answer nobody that this entry hears of about the desired state. */
    val storeAway: Boolean get() = answers.away

    private val followerSelection = FollowerSelection(self, record.zone)

    /** Since when a newer desired state has been arriving from the store; null while none is. */
    private var readingSince: Duration? = null
    private var readingAnnounced = false
    private var announcedStaleness = Duration.ZERO
    private var lastHeartbeatAt = -Duration.INFINITE

    /** Whether a heartbeat is sent at the next tick instead of at the end of the interval. */
    private var heartbeatDue = false

    lateinit var loadGossip: LoadGossip

    /** Called with requests for permits and grants of permits. */
    var onPermitMessage: (PeerMessage.PermitMessage) -> Unit = {}

    /** Called when another entry has newer rows of the store. */
    var requestSync: () -> Unit = {}
    private val peerVersions = PeerVersions(book, table, answers, ticker) { requestSync() }
    private var announcedVersions = ConfigurationVersion.NONE to StoreVersion.NONE

    override val pacing: QueryPacing
        get() = QueryPacing(table.all.size + 1, roles.active, answers.lately, readsPerSecond)

    private var nextTick = CompletableDeferred<Unit>()

    override suspend fun awaitTick() = nextTick.await()

    /** Sends heartbeats that are due, detects silent peers and refreshes the roles; called periodically. */
    fun tick() {
        detectSilent(ticker.now())
        refreshRoles()
        val period = if (schedule.wide) HeartbeatPlan.ACTIVE_PERIOD else HeartbeatPlan.STANDBY_PERIOD
        val due =
            heartbeatDue || (schedule.wide && versions != announcedVersions) || readingChanged || confirmedAgain ||
                ticker.now() - lastHeartbeatAt >= period
        if (due) sendHeartbeats()
        nextTick.complete(Unit)
        nextTick = CompletableDeferred()
    }

    private val versions get() = book.stateVersion to book.upstreamVersion

    /** An answer that arrives whole between two ticks is not announced. */
    private val readingChanged get() = schedule.wide && (readingSince != null) != readingAnnounced

    /** Others refuse requests while what they hear is unconfirmed, so they learn at once when it no longer is. */
    private val confirmedAgain
        get() = schedule.wide && announcedStaleness > LONG_UNCONFIRMED && stateStaleness < LONG_UNCONFIRMED

    private val stateStaleness get() = ticker.now() - book.freshness.confirmedAt

    private fun detectSilent(now: Duration) {
        for (peer in table.markSilent(now)) {
            log.log(GatewayEvent.PEER_SILENT, peer.name, (now - peer.lastSeenAt).inWholeMilliseconds)
            loadGossip.forget(peer.name)
            book.freshness.forget(peer.name)
        }
    }

    private fun refreshRoles() {
        if (!roles.refresh()) return
        heartbeatDue = true
        log.log(GatewayEvent.ROLES_CHANGED, record.zone, roles.selected.joinToString(" "), roles.active)
    }

    /** Announces a new desired state of this entry at once, so that others need not wait for the next heartbeat. */
    fun announceState() {
        if (schedule.wide && book.stateVersion != announcedVersions.first) sendHeartbeats()
    }

    /** Sends heartbeats now. */
    fun sendHeartbeats() {
        val now = ticker.now()
        lastHeartbeatAt = now
        heartbeatDue = false
        announcedVersions = versions
        announcedStaleness = stateStaleness
        readingAnnounced = readingSince != null
        // All heartbeats leave before the rest of the load, so that the load delays none of them.
        val rest = schedule.due().map { batch -> batch to sendHeartbeat(batch, now) }
        for ((batch, parts) in rest) parts.forEach { send(PeerMessage.LoadState(self, it), batch.recipients) }
    }

    /** Sends a heartbeat; returns the load that did not fit. */
    private fun sendHeartbeat(batch: Heartbeats, now: Duration): List<LoadPart> {
        val heartbeat = heartbeat(now, batch.period)
        if (!batch.withLoad) {
            send(heartbeat, batch.recipients)
            return emptyList()
        }
        val load = loadGossip.heartbeatLoad(DatagramSize.MAX_BYTES - DatagramSize.of(heartbeat))
        send(heartbeat.copy(load = load.inside), batch.recipients)
        return load.separate
    }

    private fun heartbeat(now: Duration, period: Duration) = PeerMessage.Hello(
        from = self,
        zone = record.zone,
        callers = record.callers,
        peers = record.peers,
        serving = serving,
        stopping = stopping,
        storeAnswers = storeAnswers,
        stateVersion = book.stateVersion,
        upstreamVersion = book.upstreamVersion,
        coveredVersion = book.coveredVersion,
        unchangedSince = book.unchangedSince,
        confirmedMs = (now - book.confirmedAt).inWholeMilliseconds,
        stateReceived = book.freshness.receivedVersion,
        stateAccepted = book.freshness.acceptedVersion,
        stateConfirmedMs = (now - book.freshness.confirmedAt).inWholeMilliseconds,
        upMs = (now - startedAt).inWholeMilliseconds,
        requestsPerS = roles.requestsPerS,
        capacity = record.capacity,
        active = roles.active,
        zoneActive = if (roles.active) roles.selected else emptyList(),
        crashes = crashGossip.digest,
        readingMs = readingSince?.let { maxOf((now - it).inWholeMilliseconds, 1) } ?: 0,
        everyMs = period.inWholeMilliseconds.toInt(),
        sentMs = now.inWholeMilliseconds,
        relay = record.relay,
        cutOff = roles.cutOff,
    )

    /** Sends load [updates] to the peers of the own zone ([near]) or of other zones that need each change at once. */
    fun sendLoadUpdates(updates: List<UpstreamLoad>, near: Boolean) {
        if (updates.isEmpty()) return
        val recipients = table.all.filter { it.needsLoadUpdates && (it.record.zone == record.zone) == near }
        if (recipients.isEmpty()) return
        for (part in DatagramSize.split(updates, DatagramSize.roomIn(self), DatagramSize::of)) {
            send(PeerMessage.LoadUpdate(self, part), recipients.map { it.record.peers })
        }
    }

    override fun mode(topic: Topic): FollowMode {
        if (stopping) return FollowMode.NONE
        val now = ticker.now()
        val staleness = now - if (topic == Topic.DESIRED_STATE) book.freshness.confirmedAt else book.confirmedAt
        return followerSelection.mode(table.live, roles.active, storeAnswers, now, staleness, answers.lately)
    }

    override fun rowsArriving(topic: Topic, arriving: Boolean) {
        if (arriving) answers.arriving(topic)
        if (topic == Topic.DESIRED_STATE) readingSince = if (arriving) ticker.now() else null
    }

    override fun storeAnswered(topic: Topic, answered: Boolean) {
        if (answers.record(topic, answered)) heartbeatDue = true
    }

    override fun storeFailed(topic: Topic, late: Boolean) {
        if (!late) answers.failed(topic)
    }

    override fun version(topic: Topic): StoreVersion =
        if (topic == Topic.UPSTREAMS) book.coveredVersion else book.freshness.acceptedVersion

    override fun rowsChanged(topic: Topic, rows: RowSnapshot, after: StoreVersion) {
        val parts = if (topic == Topic.UPSTREAMS) updateParts.of(rows, after) else null
        if (parts == null) return sendHeartbeats()
        for (part in parts) send(part, table.live.map { it.record.peers })
    }

    /** Merges a message of another entry. */
    fun receive(message: PeerMessage) {
        when (message) {
            is PeerMessage.Hello -> receiveHello(message)
            is PeerMessage.LoadUpdate -> loadGossip.receive(message.from, message.load)
            is PeerMessage.LoadState -> loadGossip.receive(message.from, message.part)
            is PeerMessage.UpstreamUpdate -> receiveUpstreams(message)
            is PeerMessage.CrashUpdate -> crashGossip.receive(message)
            is PeerMessage.PermitMessage -> onPermitMessage(message)
        }
        if (message !is PeerMessage.CrashUpdate) pump()
    }

    private fun receiveHello(hello: PeerMessage.Hello) {
        val previous = table[hello.from]
        val wasStopping = previous?.hello?.stopping ?: false
        val wasActive = previous?.active ?: false
        val isNew = table.onHeartbeat(hello, ticker.now())
        if (isNew) log.log(GatewayEvent.PEER_SEEN, hello.from, hello.callers)
        if (hello.stopping && !wasStopping) log.log(GatewayEvent.PEER_LEAVING, hello.from)
        lateHeartbeats.record(hello, table[hello.from], ticker.now())
        hello.load?.let { loadGossip.receive(hello.from, it) }
        peerVersions.compare(hello)
        crashGossip.sendIfDifferent(hello.crashes, hello.peers)
        if (hello.active && !wasActive) handleNewlyActive(hello)
        // An entry that has just started learns at once about this entry and its versions.
        if (isNew && roles.active) send(heartbeat(ticker.now(), HeartbeatPlan.ACTIVE_PERIOD), listOf(hello.peers))
    }

    /**
     * Handles an entry that became active: entries of its zone send it a heartbeat, a standby entry of another zone
     * forwards [hello] to the active entries of its own zone.
     */
    private fun handleNewlyActive(hello: PeerMessage.Hello) {
        if (hello.zone == record.zone) {
            heartbeatDue = true
        } else if (!roles.active) {
            send(hello, roles.activePeers.map { it.record.peers })
        }
    }

    private fun receiveUpstreams(update: PeerMessage.UpstreamUpdate) {
        val rows = update.rows.map { it.toStored() }
        val version = rows.maxOfOrNull { it.version } ?: return
        val known = book.upstreamVersion
        book.applyUpstreamChanges(RowSnapshot(rows, version), update.after, update.from)
        if (version > known && roles.isLeader) forward(update)
    }

    /** Forwards [update] to entries that its sender does not reach, since a standby entry knows few others. */
    private fun forward(update: PeerMessage.UpstreamUpdate) {
        val sender = table[update.from] ?: return
        val near = sender.record.zone == record.zone
        if (near && sender.active) return
        val to = if (sender.active) table.liveInZone(record.zone) else table.live
        send(PeerMessage.UpstreamUpdate(self, update.after, update.rows), (to - sender).map { it.record.peers })
    }

    private companion object {
        /** Staleness that a follower reaches only while a large configuration is on its way to it. */
        val LONG_UNCONFIRMED = 1.seconds
    }
}
