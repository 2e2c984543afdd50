package io.poplarwood.entry.node

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.Incarnation
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.outcome.Refusal
import io.poplarwood.api.random.SplitMix
import io.poplarwood.api.time.Ticker
import io.poplarwood.decision.crash.CrashTable
import io.poplarwood.decision.dispatch.Command
import io.poplarwood.decision.explain.ExplainLog
import io.poplarwood.entry.http.CallServer
import io.poplarwood.entry.log.EventLog
import io.poplarwood.entry.metrics.EntryMetrics
import io.poplarwood.entry.metrics.PeerMetrics
import io.poplarwood.entry.metrics.RecentCalls
import io.poplarwood.entry.operator.OperatorBackend
import io.poplarwood.entry.runtime.CallRunner
import io.poplarwood.entry.runtime.RefusingRunner
import io.poplarwood.fleet.FleetEvent
import io.poplarwood.fleet.FleetNode
import io.poplarwood.fleet.FleetOutput
import io.poplarwood.fleet.FleetRunner
import io.poplarwood.fleet.FleetSettings
import io.poplarwood.fleet.config.ChangeRequest
import io.poplarwood.fleet.config.ChangeResult
import io.poplarwood.fleet.message.Peer
import io.poplarwood.fleet.store.StorePorts
import io.poplarwood.peer.PeerNetwork
import io.poplarwood.peer.PeerSettings
import io.poplarwood.peer.forward.OwnerForwarder
import io.poplarwood.peer.message.PeerMessage
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One entry: wires the callers' listener, the request decisions, the peer links and the fleet together. */
class EntryNode(
    private val settings: NodeSettings,
    private val platform: Platform,
    private val ticker: Ticker,
    private val clock: Clock,
    seed: Long,
    registry: PrometheusRegistry = PrometheusRegistry(),
) {
    private val recentCalls = RecentCalls(ticker)
    private val metrics = EntryMetrics(registry, recentCalls)
    private val random = SplitMix(seed)
    private val initialRef = EntryRef(settings.id, Incarnation(clock.now().toEpochMilliseconds(), random.nextLong()))
    private val job: Job = SupervisorJob()
    private val scope = CoroutineScope(job + Dispatchers.Default)
    private val admission = AdmissionGate()
    private val membership = MembershipView()

    @Volatile
    private var fleet: FleetRunner? = null

    @Volatile
    private var ownerForwarder: OwnerForwarder? = null

    @Volatile
    private var self: EntryRef = initialRef
    private val crashTable = CrashTable(position = { membership.positionOf(settings.id) })
    private val explainLog = ExplainLog()
    private val log = EventLog()
    private val services = ServiceRegistry(settings, ticker, random, explainLog, crashTable, ::execute)
    private val fleetEvents = FleetEventHandler(services, membership, admission, ::onFleetEvent)
    private val keys =
        IdempotencyKeyService(initialRef, platform.table, membership, clock, SplitMix(random.nextLong())) {
            ownerForwarder
        }
    private val peerMessages = PeerMessageHandler(services, crashTable, ticker, { ownerForwarder }) { fleet }
    private val peers = PeerNetwork(
        PeerSettings(settings.peerHost, settings.peerPort, settings.secret),
        { Peer(self, peerAddress) },
        PeerMetrics(registry),
        ticker,
        SplitMix(random.nextLong()),
        onLinkLost = { ownerForwarder?.linkLost(it) },
        onMessage = peerMessages::receive,
    )
    private val directoryRoute = DirectoryRoute(services, clock) { fleet }
    private val callServer = CallServer(
        settings.http,
        documents = { services[it]?.document },
        runners = ::runner,
        ticker = ticker,
        metrics = metrics,
        entryName = settings.id.value,
        probeAllowed = services::tryTakeProbe,
        ownPaths = directoryRoute::handle,
        keys = keys,
    )
    private val statusReporter = StatusReporter(settings, services, recentCalls, callServer::inFlight) { fleet }

    /** Backend of the operators' API. */
    val operatorBackend: OperatorBackend =
        NodeOperatorBackend(settings, platform, { fleet }, admission, statusReporter, explainLog, metrics)

    /** `ip:port` of the callers' listener; valid after [start]. */
    val callersAddress: String get() = "${settings.address}:${callServer.port}"

    /** `ip:port` of the peer listener; valid after [start]. */
    @Volatile
    var peerAddress: String = "${settings.address}:${settings.peerPort}"
        private set

    /** Reason for refusing new work; null when new work is accepted. */
    val refusal get() = admission.refusal

    /** Opens the listeners and joins the cell. New work is accepted once [refusal] is null. */
    suspend fun start() {
        callServer.start()
        peers.start(scope)
        peerAddress = "${settings.address}:${peers.port}"
        val forwardedRequests = ForwardedRequestHandler(settings.http.keptBodyBytes, keys) { callServer }
        val forwarderSeed = random.nextLong()
        ownerForwarder =
            OwnerForwarder(scope, SplitMix(forwarderSeed), peers::send, peers::put) { _, head, body ->
                forwardedRequests.serve(head, body)
            }
        val fleetNode = FleetNode(
            FleetSettings(initialRef, peerAddress, callersAddress, settings.zone, settings.seeds, settings.budget),
            ticker,
            clock,
            SplitMix(random.nextLong()),
        )
        val storePorts = StorePorts(platform.table, platform.objects, platform.vms)
        val fleetRunner = FleetRunner(fleetNode, storePorts, ::sendFleetMessage, fleetEvents::offer)
        fleet = fleetRunner
        scope.launch { fleetRunner.run() }
        scope.launch { fleetEvents.run(fleetRunner) }
        scope.launch { tickPeriodically() }
        scope.launch { sweepPeriodically() }
        callServer.warmUp()
        admission.markStarted()
        fleetRunner.input { ready(true) }
    }

    /** Submits an operator's change and waits for the result; the store counts as unavailable before [start]. */
    suspend fun change(request: ChangeRequest): ChangeResult =
        fleet?.change(request) ?: ChangeResult.StoreUnavailable

    /**
     * Ends service without interrupting requests. The directory stops listing this entry, which serves until no
     * caller can still hold its address and the last request has ended, for at most [NodeSettings.drainTimeout].
     *
     * @return true when no request was cut off
     */
    suspend fun drain(): Boolean {
        fleet?.input { leave() }
        val completed = callServer.drain(settings.drainTimeout, settings.advertisementLifetime)
        stop()
        return completed
    }

    /** Whether a document of [service] is in force at this entry. */
    fun serves(service: ServiceName): Boolean = services[service] != null

    /** Stops at once and closes all connections. Notifies the other entries first unless [announce] is false. */
    suspend fun stop(announce: Boolean = true) {
        if (job.isCancelled) return
        admission.markStopping()
        if (announce) {
            fleet?.input { end() }
            delay(ANNOUNCEMENT_DELAY)
        }
        callServer.stop()
        job.cancelAndJoin()
    }

    private fun onFleetEvent(event: FleetEvent) {
        log.logFleetEvent(event)
        if (event !is FleetEvent.Renamed) return
        self = event.self
        keys.adoptIncarnation(event.self)
        peers.renamed()
    }

    private fun runner(service: ServiceName): CallRunner? {
        val runtime = services[service] ?: return null
        return admission.refusal?.let { RefusingRunner(Refusal(it, RETRY_AFTER_REFUSAL)) } ?: runtime.runner
    }

    private suspend fun tickPeriodically() {
        while (true) {
            delay(TICK_INTERVAL)
            services.tick()
        }
    }

    private suspend fun sweepPeriodically() {
        val jitter = SplitMix(random.nextLong())
        while (true) {
            delay(SWEEP_INTERVAL * (1 + jitter.nextDouble()))
            keys.removeExpiredKeys()
            keys.removeExpiredClaims()
        }
    }

    private fun sendFleetMessage(output: FleetOutput.Send) {
        peers.send(output.address, PeerMessage.Fleet(output.message))
    }

    private fun execute(service: ServiceName, command: Command) {
        when (command) {
            is Command.Send -> {
                val address = membership.addressOf(command.to) ?: return
                peers.send(address, PeerMessage.Slot(service, command.message))
            }
            is Command.ReportCrash -> {
                val update = PeerMessage.CrashReport(command.fingerprint, command.upstream)
                membership.all.filter { it.ref != self }.forEach { peers.send(it.address, update) }
            }
            is Command.Probe -> scope.launch { callServer.probe(command.upstream.address) }
            else -> Unit
        }
    }

    private companion object {
        /** Interval between runs of the dispatchers' periodic work. */
        val TICK_INTERVAL = 10.milliseconds

        /** Key records and claims live for minutes; jitter of up to as much keeps entries from scanning together. */
        val SWEEP_INTERVAL = 30.seconds

        /** Another entry can take the request at once; this gives the caller time to switch to that entry. */
        val RETRY_AFTER_REFUSAL = 100.milliseconds

        /** Time for the last messages to reach the peers. */
        val ANNOUNCEMENT_DELAY = 200.milliseconds
    }
}
