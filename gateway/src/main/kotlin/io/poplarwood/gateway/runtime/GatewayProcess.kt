package io.poplarwood.gateway.runtime

import io.poplarwood.api.random.RandomSource
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.adapter.Adapter
import io.poplarwood.gateway.directory.Directory
import io.poplarwood.gateway.directory.OwnEntry
import io.poplarwood.gateway.http.EntryHttpClient
import io.poplarwood.gateway.http.InternalListener
import io.poplarwood.gateway.http.InternalReply
import io.poplarwood.gateway.http.ListenFailedException
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.route.RouteProblemReporter
import io.poplarwood.gateway.settings.GatewaySettings
import io.poplarwood.gateway.store.StateWatcher
import io.poplarwood.gateway.store.Topic
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * One gateway: what it knows, its exchange with other entries, and the way of requests, wired together on one event
 * loop. All except the log writer and long computations runs on that loop, so no state needs a lock.
 *
 * @param upstreamPath where an upstream that is registered at an address is reached
 * @param sinceStart time since the program began to run; excludes the start of the Java runtime
 */
class GatewayProcess(
    private val settings: GatewaySettings,
    adapter: Adapter,
    private val ticker: Ticker,
    random: RandomSource,
    upstreamPath: (address: String) -> String = { it },
    private val sinceStart: () -> Duration,
) {
    private var bounds = settings.bounds
    private val runtime = ProcessRuntime(ticker, random)
    private val log = runtime.log
    private val httpClient = EntryHttpClient(runtime.eventLoopGroup, ticker)
    private val store = adapter.createStore(httpClient, settings.store, runtime.background)
    private val state: EntryState = EntryState(
        settings,
        adapter.codec,
        runtime,
        ::ownEntry,
        ::onStateChanged,
        onLoadChanged = { peers.loadGossip.scheduleUpdate(it) },
        onUpstreamEnded = { requests.crashDetector.upstreamEnded(it) },
        closeIdle = { requests.upstreamConnections.closeIdle(it.record.address) },
    )
    private val peers: PeerServices =
        PeerServices(settings, runtime, state, store, httpClient) { requests.dispatchQueued() }
    private val requests: RequestPath =
        RequestPath(settings, adapter, runtime, state, peers, httpClient, upstreamPath) { bounds }
    private val routeProblems = RouteProblemReporter(log, runtime.metrics)
    private val configurationLagLog = ConfigurationLagLog(state.replica, ticker, log::log)
    private val createdAt = ticker.now()
    private val entryReplies = EntryReplies(
        adapter.endpoints,
        Directory(
            settings.zone,
            state.peers::zones,
            state.activeEntries,
            settings.bounds.directoryLifetimeS.seconds,
        ),
        ::ownEntry,
    )
    private var stopping = false

    /** Number of log lines of level `ERROR` so far; each of them is a fault of this code. */
    val errorCount: Long get() = runtime.metrics.errorCount
    private val listeners get() = listOfNotNull(requests.callerListener, requests.relayListener)
    private val serving: Boolean
        get() = state.replica.state != null && state.upstreams.all.isNotEmpty() && !stopping

    /**
     * Opens the listeners and starts to follow the store and the peers. The listeners come first: an entry that cannot
     * listen must not register.
     *
     * @throws ListenFailedException if an address cannot be used; it has been logged
     */
    suspend fun start() = withContext(runtime.scope.coroutineContext) {
        requests.requestHandler.onFirstAnswer = {
            log.log(GatewayEvent.FIRST_ANSWER, sinceStart().inWholeMilliseconds)
        }
        runtime.metrics.configuration = ConfigurationStatusSource(state.replica, ticker)::status
        runtime.metrics.held = requests::held
        try {
            openListeners()
        } catch (e: ListenFailedException) {
            log.log(GatewayEvent.START_FAILED, e.address, e.cause?.message)
            throw e
        }
        runtime.supervise("state") { followTopic(Topic.DESIRED_STATE) }
        runtime.supervise("upstreams") { followTopic(Topic.UPSTREAMS) }
        runtime.supervise("entries") { peers.registration.registerAndReadPeers() }
        runtime.supervise("look") { runPeriodicTasks() }
        runtime.supervise("probes") { runProbes() }
        val startedMs = sinceStart().inWholeMilliseconds
        log.log(GatewayEvent.STARTED, settings.entry, settings.zone, settings.listen.callers, startedMs)
    }

    private suspend fun openListeners() {
        requests.callerListener.start()
        requests.relayListener?.start()
        listen(settings.listen.readiness, entryReplies::readiness)
        listen(settings.listen.directory, entryReplies::entries)
        listen(settings.listen.peers, peers::reply)
        listen(settings.listen.metrics) { InternalReply(OK, "text/plain", runtime.metrics.text()) }
        peers.socket.start()
    }

    private suspend fun listen(address: String, reply: suspend (String) -> InternalReply) =
        InternalListener(runtime.eventLoopGroup, address, runtime.scope, reply).start()

    /** Drains this entry within the grace period without aborting requests; see [GracefulStop]. */
    suspend fun stop() = withContext(runtime.scope.coroutineContext) {
        GracefulStop(requests.requestHandler, listeners, ticker, log).run(bounds.graceS.seconds) {
            stopping = true
            peers.gossip.stopping = true
            peers.gossip.sendHeartbeats()
        }
    }

    /**
     * Applies the bounds of [newSettings]. All other settings, the retry budget window and the lifetime of directory
     * replies stay as they are until the next start.
     */
    suspend fun reload(newSettings: GatewaySettings) = withContext(runtime.scope.coroutineContext) {
        val restartNeeded = newSettings.copy(bounds = settings.bounds) != settings
        bounds = newSettings.bounds
        log.log(GatewayEvent.RELOADED, newSettings.bounds.toString(), restartNeeded)
    }

    /** Logs that changed settings are invalid; the earlier ones stay in force. */
    fun reloadFailed(faults: List<String>) = log.log(GatewayEvent.RELOAD_FAILED, faults.joinToString("; "))

    /** Closes everything at once; the addresses are free when it returns. */
    fun close() = runtime.close()

    private suspend fun followTopic(topic: Topic) {
        val watcher = StateWatcher(topic, store, state.replica, ticker, runtime.random, log, peers.gossip)
        watcher.readSnapshot()
        watcher.follow()
    }

    private fun ownEntry() =
        ticker.now().let { OwnEntry(serving, it - createdAt, peers.loadGossip.requestsPerS(it), requests.reach.cutOff) }

    private suspend fun runProbes() {
        while (true) {
            if (state.activeEntries.active &&
                !requests.reach.cutOff
            ) {
                requests.loadProber.probeDueUpstreams(runtime.scope)
            }
            if (state.activeEntries.active) delay(PROBE_INTERVAL) else peers.gossip.awaitTick()
        }
    }

    /** Runs all periodic tasks in one loop, so that an idle entry wakes up rarely. */
    private suspend fun runPeriodicTasks() {
        while (true) {
            peers.gossip.tick()
            peers.stateExchange.syncIfBehind()
            peers.stateExchange.logReplies()
            configurationLagLog.check()
            state.replica.checkExpiry()
            requests.crashDetector.tick(state.replica.confirmedAt)
            requests.upstreamConnections.closeExpired()
            requests.reach.tick(state.activeEntries.hasCutOffNeighbor)
            runtime.metrics.cutOffFrom(requests.reach.cutServices)
            delay(if (state.activeEntries.active || !serving) ACTIVE_TASK_INTERVAL else STANDBY_TASK_INTERVAL)
        }
    }

    private fun onStateChanged() {
        state.replica.state?.let {
            routeProblems.report(it)
            requests.splitPicker.useVersion(it.version)
        }
        requests.dispatchQueued()
        peers.gossip.announceState()
        if (peers.gossip.serving || !serving) return
        peers.gossip.serving = true
        val readyMs = sinceStart().inWholeMilliseconds
        log.log(GatewayEvent.READY, state.replica.state?.version, state.upstreams.all.size, "store", readyMs)
        peers.gossip.sendHeartbeats()
    }

    private companion object {
        const val OK = 200

        /** Intervals of the periodic tasks: while this entry is active or does not serve yet, and while on standby. */
        val ACTIVE_TASK_INTERVAL = 100.milliseconds
        val STANDBY_TASK_INTERVAL = 250.milliseconds

        val PROBE_INTERVAL = 20.milliseconds
    }
}
