package io.poplarwood.gateway.runtime

import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.id.Zone
import io.poplarwood.gateway.adapter.Adapter
import io.poplarwood.gateway.decision.Placement
import io.poplarwood.gateway.decision.ProbeSelector
import io.poplarwood.gateway.decision.RetryBudget
import io.poplarwood.gateway.decision.RetryLimits
import io.poplarwood.gateway.http.BodyMemoryBudget
import io.poplarwood.gateway.http.CallerListener
import io.poplarwood.gateway.http.EntryHttpClient
import io.poplarwood.gateway.http.UpstreamConnectionPool
import io.poplarwood.gateway.metrics.HeldResources
import io.poplarwood.gateway.peer.ProbeAssignment
import io.poplarwood.gateway.reach.UpstreamReach
import io.poplarwood.gateway.relay.RelayEvent
import io.poplarwood.gateway.relay.RelayHelpers
import io.poplarwood.gateway.relay.RelayPath
import io.poplarwood.gateway.relay.RelayReplies
import io.poplarwood.gateway.route.CallerLimits
import io.poplarwood.gateway.route.SplitPicker
import io.poplarwood.gateway.settings.Bounds
import io.poplarwood.gateway.settings.GatewaySettings
import kotlin.time.Duration.Companion.seconds

/**
 * The way of requests through one entry: listener, decisions, connections to upstreams, and what is learned from their
 * answers.
 *
 * @param bounds the bounds in force
 * @param upstreamPath where an upstream that is registered at an address is reached
 */
internal class RequestPath(
    settings: GatewaySettings,
    adapter: Adapter,
    runtime: ProcessRuntime,
    private val state: EntryState,
    peers: PeerServices,
    httpClient: EntryHttpClient,
    upstreamPath: (address: String) -> String,
    bounds: () -> Bounds,
) {
    private val ticker = runtime.ticker
    private val bodyMemoryBytes = settings.limits.memoryMb * BODY_BYTES_PER_MB
    private val queueTimer = QueueTimer(runtime.eventLoop, ::dispatchQueued)
    val splitPicker = SplitPicker(runtime.random::nextDouble)
    private val decisions = Decisions(
        state.upstreams,
        Placement(Zone(settings.zone), runtime.random),
        RetryBudget(
            settings.bounds.repeatWindowS.seconds,
            { bounds().let { RetryLimits(it.repeatRatio, it.repeatSlack) } },
            { state.peers.budgetSharers(ticker.now()) },
        ),
        splitPicker,
        peers.rateLimiting.permits,
        state.crashSuspects,
        queueTimer::start,
    )
    private val answerMemory = BodyMemoryBudget(bodyMemoryBytes)
    private val bodyMemory = BodyMemoryBudget(bodyMemoryBytes)
    val upstreamConnections = UpstreamConnectionPool(
        runtime.eventLoopGroup,
        adapter.headerNames,
        ticker,
        answerMemory,
        upstreamPath,
        runtime.metrics::answerMatched,
        runtime.metrics::idRepeated,
        runtime.metrics::connectionOpened,
    )
    private val livenessCheck =
        LivenessCheck(upstreamConnections::tryConnect, state.upstreams, ticker, runtime.scope)
    val crashDetector = CrashDetector(
        state.crashSuspects,
        peers.gossip.crashGossip,
        livenessCheck,
        runtime.random,
        ticker,
        runtime.scope,
        runtime.log,
        settings.store.registrationExpiry,
    )
    private val relayPath = RelayPath(
        RelayHelpers(settings.zone, state.peers, runtime.random),
        UpstreamConnectionPool(runtime.eventLoopGroup, adapter.headerNames, ticker, answerMemory),
        runtime.metrics,
    )
    val reach: UpstreamReach = UpstreamReach(
        state.upstreams,
        upstreamConnections::tryConnect,
        { ids, within -> peers.answeringOthers(relayPath.helpers.witnesses(WITNESSES), ids, within) },
        runtime.random,
        ticker,
        runtime.scope,
        runtime.log,
        ::pathLost,
        peers.gossip::sendHeartbeats,
    )
    val loadProber = LoadProber(
        state.upstreams,
        ProbeSelector { bounds().probesPerS },
        ProbeAssignment(settings.entry, Zone(settings.zone), state.peers, state.activeEntries),
        state.replica,
        peers.loadGossip,
        httpClient,
        adapter.headerNames,
        runtime.metrics,
        state.availability,
        crashDetector,
        ticker,
        upstreamPath,
    )
    val requestHandler: RequestHandler = RequestHandler(
        state.replica,
        decisions,
        upstreamConnections,
        peers.loadGossip,
        ticker,
        runtime.metrics,
        AttemptFeedback(
            decisions,
            peers.loadGossip,
            crashDetector,
            state.availability,
            runtime.log,
            DroppedAnswers(runtime.log, runtime.metrics, bodyMemoryBytes),
            reach,
        ),
        ConfigurationAdmission(state.replica.freshness, ticker, {
            peers.gossip.storeAway
        }) { bounds().changeS.seconds },
        adapter.headerNames,
        reach,
        relayPath,
        RequestLog(runtime.log, runtime.metrics, ticker),
        runtime.log,
    )
    val callerListener = CallerListener(
        runtime.eventLoopGroup,
        settings.listen.callers,
        runtime.scope,
        ticker,
        adapter.headerNames,
        bodyMemory,
        { state.replica.state?.limits ?: CallerLimits() },
        { host, target -> state.replica.routes.find(host, target)?.kind?.retryable ?: false },
        serve = requestHandler::serve,
    )
    private val relayReplies = RelayReplies(
        adapter.headerNames,
        { peers.loadGossip.requestsPerS(ticker.now()) > state.record.capacity },
    ) {
        runtime.metrics.relayed(RelayEvent.RECEIVED)
        requestHandler.serve(it)
    }

    /** Takes requests of other entries; null where the settings name no address. */
    val relayListener: CallerListener? = settings.listen.relay?.let { address ->
        CallerListener(
            runtime.eventLoopGroup,
            address,
            runtime.scope,
            ticker,
            adapter.headerNames,
            bodyMemory,
            { state.replica.state?.limits ?: CallerLimits() },
            { _, _ -> true },
            fromEntries = true,
            serve = relayReplies::reply,
        )
    }

    /** What the requests in flight hold now. */
    fun held(): HeldResources = HeldResources(
        requests = requestHandler.inFlight,
        queued = decisions.queuedCount,
        slots = state.upstreams.all.sumOf { it.ownInFlight },
        attempts = crashDetector.runningCount,
        relayed = relayPath.helpers.inFlightCount,
        requestBytes = bodyMemory.reservedBytes,
        answerBytes = answerMemory.reservedBytes,
    )

    private fun pathLost(service: ServiceName) = requestHandler.pathLost(service)

    /** Assigns free slots to queued requests; returns true while any remain queued. */
    fun dispatchQueued(): Boolean {
        decisions.dispatchQueued(ticker.now())
        return decisions.hasQueued
    }

    private companion object {
        /** Limit on buffered request bodies, and separately on buffered answers, per megabyte of the VM's memory. */
        const val BODY_BYTES_PER_MB = 100L * 1024

        /** Entries that are asked which upstreams answer. */
        const val WITNESSES = 3
    }
}
