package io.poplarwood.gateway.runtime

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.RandomSource
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.adapter.Adapter
import io.poplarwood.gateway.decision.Placement
import io.poplarwood.gateway.decision.ProbeSelector
import io.poplarwood.gateway.decision.RetryBudget
import io.poplarwood.gateway.decision.RetryLimits
import io.poplarwood.gateway.directory.Directory
import io.poplarwood.gateway.directory.OwnEntry
import io.poplarwood.gateway.http.BodyMemoryBudget
import io.poplarwood.gateway.http.CallerListener
import io.poplarwood.gateway.http.EntryHttpClient
import io.poplarwood.gateway.http.InternalListener
import io.poplarwood.gateway.http.InternalReply
import io.poplarwood.gateway.http.UpstreamConnectionPool
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.metrics.GatewayMetrics
import io.poplarwood.gateway.peer.ActiveEntries
import io.poplarwood.gateway.peer.CrashRecordStore
import io.poplarwood.gateway.peer.LoadGossip
import io.poplarwood.gateway.peer.PeerGossip
import io.poplarwood.gateway.peer.PeerRecord
import io.poplarwood.gateway.peer.PeerSocket
import io.poplarwood.gateway.peer.PeerTable
import io.poplarwood.gateway.peer.ProbeAssignment
import io.poplarwood.gateway.route.CallerLimits
import io.poplarwood.gateway.route.RouteProblemReporter
import io.poplarwood.gateway.route.SplitPicker
import io.poplarwood.gateway.settings.GatewaySettings
import io.poplarwood.gateway.store.StateReplica
import io.poplarwood.gateway.store.StateWatcher
import io.poplarwood.gateway.store.Topic
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * One gateway: listeners, decisions, peers and the store, wired together on one event loop. Everything except the log
 * writer runs on that loop, so no state needs a lock.
 *
 * @param sinceStart time since the program began to run; excludes the start of the Java runtime
 */
class GatewayProcess(
    private val settings: GatewaySettings,
    adapter: Adapter,
    private val ticker: Ticker,
    private val random: RandomSource,
    private val sinceStart: () -> Duration,
) {
    private var bounds = settings.bounds
    private val eventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val eventLoop = eventLoopGroup.next()
    private val scope = CoroutineScope(SupervisorJob() + eventLoop.asCoroutineDispatcher())
    private val background = BackgroundThread()
    private val log = EventLog()
    private val metrics = GatewayMetrics()
    private val httpClient = EntryHttpClient(eventLoopGroup)
    private val store = adapter.createStore(httpClient, settings.store, background)
    private val upstreams = UpstreamTable()
    private val peerTable = PeerTable(settings.entry)
    private val record =
        PeerRecord(settings.zone, settings.listen.callers, settings.listen.peers, EntryCapacity.of(settings.limits))
    private val activeSet = ActiveEntries(settings.entry, record, peerTable, ::ownEntry)
    private val peerSocket = PeerSocket(eventLoopGroup, record.peers, { peers.receive(it) }, metrics::datagramMalformed)
    private val rateLimiting = RateLimiting(
        settings.entry,
        upstreams,
        peerTable,
        activeSet,
        ticker,
        metrics,
        peerSocket::send,
        ::schedule,
    ) {
        dispatchQueued()
    }
    private val splitPicker = SplitPicker(random::nextDouble)
    private val queueTimer = QueueTimer(eventLoop, ::dispatchQueued)
    private val decisions = Decisions(
        upstreams,
        Placement(Zone(settings.zone), random),
        RetryBudget(
            settings.bounds.repeatWindowS.seconds,
            { RetryLimits(bounds.repeatRatio, bounds.repeatSlack) },
            { peerTable.budgetSharers(ticker.now()) },
        ),
        splitPicker,
        rateLimiting.permits,
        queueTimer::start,
    )
    private val upstreamLinks =
        UpstreamConnectionPool(
            eventLoopGroup,
            adapter.headerNames,
            ticker,
            BodyMemoryBudget(bodyMemoryBytes()),
            metrics::connectionOpened,
        )
    private val stateBook: StateReplica =
        StateReplica(adapter.codec, upstreams, background, ticker, log, ::onStateChanged) {
            upstreamLinks.closeIdle(it.record.address)
        }
    private val routeProblems = RouteProblemReporter(log, metrics)
    private val peers: PeerGossip = PeerGossip(
        peerSocket::send,
        settings.entry,
        record,
        peerTable,
        activeSet,
        stateBook,
        decisions.crashSuspects,
        ticker,
        log,
        settings.store.readsPerSecond,
    ) {
        dispatchQueued()
    }
    private val availability = AvailabilityTracker(upstreams, random, log, { loadBoard.scheduleUpdate(it) }) {
        upstreamLinks.closeIdle(it.record.address)
    }
    private val loadBoard: LoadGossip = LoadGossip(
        upstreams,
        ticker,
        { schedule(ZONE_UPDATE_DELAY) { peers.sendLoadUpdates(loadBoard.drainOwnZone(), near = true) } },
        { schedule(CROSS_ZONE_UPDATE_DELAY) { peers.sendLoadUpdates(loadBoard.drainOtherZones(), near = false) } },
        { upstream, born, source -> availability.markDraining(upstream, born, source, ticker.now()) },
        { row, observation, source -> availability.observeLimit(row, observation, source, ticker.now()) },
    ).also {
        peers.loadGossip = it
        peers.onPermitMessage = rateLimiting.exchange::receive
    }
    private val loadProber = LoadProber(
        upstreams,
        ProbeSelector { bounds.probesPerS },
        ProbeAssignment(settings.entry, Zone(settings.zone), peerTable, activeSet),
        stateBook,
        loadBoard,
        httpClient,
        adapter.headerNames,
        metrics,
        availability,
        ticker,
    )
    private val stateExchange = StateExchange(
        settings.entry,
        record,
        ::callPeer,
        peerTable,
        stateBook,
        settings.limits.linkMbps,
        background,
        random,
        scope,
        ticker,
        log,
        metrics,
    ).also {
        peers.requestSync = it::scheduleSync
    }
    private val crashRecords = CrashRecordStore(store, peers.crashGossip, scope, log).also {
        peers.crashGossip.onRefused = it::save
        decisions.crashSuspects.onReadmitted = { fingerprint -> if (activeSet.isLeader) it.delete(fingerprint) }
    }
    private val entryRegistration =
        EntryRegistration(store, settings.entry, record, peerTable, ticker, crashRecords, log)
    private val livenessCheck = LivenessCheck(upstreamLinks::tryConnect, upstreams, ticker, scope)
    private val crashDetector =
        CrashDetector(decisions.crashSuspects, livenessCheck, random, ticker, scope, peers.crashGossip::announceLoss)
    private val attemptFeedback = AttemptFeedback(decisions, loadBoard, crashDetector, availability, log)
    private val requestLog = RequestLog(log, metrics, ticker)
    private val requestHandler = RequestHandler(
        stateBook,
        decisions,
        upstreamLinks,
        loadBoard,
        ticker,
        metrics,
        attemptFeedback,
        ConfigurationAdmission(stateBook.freshness, ticker) { bounds.changeS.seconds },
        requestLog,
        log,
    )
    private val configurationLagLog = ConfigurationLagLog(stateBook, ticker, log::log)
    private val directory =
        Directory(settings.zone, peerTable::zones, activeSet, settings.bounds.directoryLifetimeS.seconds)
    private val callerListener = CallerListener(
        eventLoopGroup,
        settings.listen.callers,
        scope,
        ticker,
        adapter.headerNames,
        BodyMemoryBudget(bodyMemoryBytes()),
        { stateBook.state?.limits ?: CallerLimits() },
        { host, target -> stateBook.routes.find(host, target)?.kind?.retryable ?: false },
        requestHandler::serve,
    )
    private val createdAt = ticker.now()
    private val entryReplies = EntryReplies(adapter.endpoints, directory, ::ownEntry)
    private var stopping = false
    private val serving: Boolean get() = stateBook.state != null && upstreams.all.isNotEmpty() && !stopping

    /** Opens the listeners and starts to follow the store and the peers. */
    suspend fun start() = withContext(scope.coroutineContext) {
        requestHandler.onFirstAnswer = { log.log(GatewayEvent.FIRST_ANSWER, sinceStart().inWholeMilliseconds) }
        supervise("state") { followTopic(Topic.DESIRED_STATE) }
        supervise("upstreams") { followTopic(Topic.UPSTREAMS) }
        supervise("entries") { entryRegistration.registerAndReadPeers() }
        metrics.configuration = ConfigurationStatusSource(stateBook, ticker)::status
        callerListener.start()
        InternalListener(eventLoopGroup, settings.listen.readiness, scope, entryReplies::readiness).start()
        InternalListener(eventLoopGroup, settings.listen.directory, scope, entryReplies::entries).start()
        InternalListener(eventLoopGroup, settings.listen.peers, scope, ::replyToPeer).start()
        InternalListener(eventLoopGroup, settings.listen.metrics, scope) {
            InternalReply(OK, "text/plain", metrics.text())
        }.start()
        peerSocket.start()
        supervise("look") { runPeriodicTasks() }
        supervise("probes") { runProbes() }
        val startedMs = sinceStart().inWholeMilliseconds
        log.log(GatewayEvent.STARTED, settings.entry, settings.zone, settings.listen.callers, startedMs)
    }

    /** Drains this entry within the grace period without aborting requests; see [GracefulStop]. */
    suspend fun stop() = withContext(scope.coroutineContext) {
        GracefulStop(requestHandler, callerListener, ticker, log).run(bounds.graceS.seconds) {
            stopping = true
            peers.stopping = true
            peers.sendHeartbeats()
        }
    }

    /**
     * Applies the bounds of [newSettings]. All other settings, the retry budget window and the lifetime of directory
     * replies stay as they are until the next start.
     */
    suspend fun reload(newSettings: GatewaySettings) = withContext(scope.coroutineContext) {
        val restartNeeded = newSettings.copy(bounds = settings.bounds) != settings
        bounds = newSettings.bounds
        log.log(GatewayEvent.RELOADED, newSettings.bounds.toString(), restartNeeded)
    }

    /** Logs that changed settings are invalid; the earlier ones stay in force. */
    fun reloadFailed(faults: List<String>) = log.log(GatewayEvent.RELOAD_FAILED, faults.joinToString("; "))

    /** Closes everything at once; the addresses are free when it returns. */
    fun close() {
        scope.cancel()
        background.close()
        eventLoopGroup.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly(CLOSE_TIMEOUT_MS)
    }

    private suspend fun followTopic(topic: Topic) {
        val watcher = StateWatcher(topic, store, stateBook, ticker, random, log, peers)
        watcher.readSnapshot()
        watcher.follow()
    }

    private fun bodyMemoryBytes(): Long = settings.limits.memoryMb * BODY_BYTES_PER_MB

    private fun ownEntry() = ticker.now().let { OwnEntry(serving, it - createdAt, loadBoard.requestsPerS(it)) }

    private suspend fun callPeer(peer: String, path: String): ByteArray? =
        httpClient.call(peer, "GET", path, null, PEER_QUERY_TIMEOUT)?.takeIf { it.status == OK }?.body

    private suspend fun replyToPeer(target: String): InternalReply =
        stateExchange.reply(target)?.let { InternalReply(OK, CBOR, it) } ?: InternalReply(NOT_FOUND, TEXT, ByteArray(0))

    private suspend fun runProbes() {
        while (true) {
            if (activeSet.active) loadProber.probeDueUpstreams(scope)
            if (activeSet.active) delay(PROBE_INTERVAL) else peers.awaitTick()
        }
    }

    /** Runs all periodic tasks in one loop, so that an idle entry wakes up rarely. */
    private suspend fun runPeriodicTasks() {
        while (true) {
            peers.tick()
            stateExchange.syncIfBehind()
            stateExchange.logReplies()
            configurationLagLog.check()
            stateBook.removeExpired()
            upstreamLinks.closeExpired()
            delay(if (activeSet.active || !serving) ACTIVE_TASK_INTERVAL else STANDBY_TASK_INTERVAL)
        }
    }

    private fun dispatchQueued(): Boolean {
        decisions.dispatchQueued(ticker.now())
        return decisions.hasQueued
    }

    private fun schedule(pause: Duration, work: () -> Unit) {
        eventLoop.schedule(work, pause.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun onStateChanged() {
        stateBook.state?.let(routeProblems::report)
        splitPicker.reset()
        dispatchQueued()
        peers.announceState()
        if (peers.serving || !serving) return
        peers.serving = true
        val readyMs = sinceStart().inWholeMilliseconds
        log.log(GatewayEvent.READY, stateBook.state?.version, upstreams.all.size, "store", readyMs)
        peers.sendHeartbeats()
    }

    /** Runs [work] and restarts it when it fails; [part] names it in the log. */
    private fun supervise(part: String, work: suspend () -> Unit) = scope.launch {
        while (true) {
            try {
                work()
                return@launch
            } catch (e: kotlinx.coroutines.CancellationException) {
                throw e
            } catch (e: Exception) {
                log.log(GatewayEvent.FAILED, part, e.stackTraceToString())
                delay(RESTART_DELAY)
            }
        }
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val TEXT = "text/plain"
        const val CBOR = "application/cbor"

        val PEER_QUERY_TIMEOUT = 500.milliseconds

        /** Limit on buffered request bodies, and separately on buffered answers, per megabyte of the VM's memory. */
        const val BODY_BYTES_PER_MB = 100L * 1024

        /** Intervals of the periodic tasks: while this entry is active or does not serve yet, and while on standby. */
        val ACTIVE_TASK_INTERVAL = 100.milliseconds
        val STANDBY_TASK_INTERVAL = 250.milliseconds

        val PROBE_INTERVAL = 20.milliseconds

        /** Load updates are batched for this long, because every active entry has to process each message. */
        val ZONE_UPDATE_DELAY = 3.milliseconds
        val CROSS_ZONE_UPDATE_DELAY = 20.milliseconds
        val RESTART_DELAY = 200.milliseconds
        const val CLOSE_TIMEOUT_MS = 2_000L
    }
}
