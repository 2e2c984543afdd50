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

/** One entry: callers' listener, decisions, links to peers and the fleet, wired together. */
class EntryNode(
    private val settings: NodeSettings,
    private val platform: Platform,
    private val ticker: Ticker,
    private val clock: Clock,
    seed: Long,
    registry: PrometheusRegistry = PrometheusRegistry(),
) {
    private val recent = RecentCalls(ticker)
    private val metrics = EntryMetrics(registry, recent)
    private val random = SplitMix(seed)
    private val first = EntryRef(settings.id, Incarnation(clock.now().toEpochMilliseconds(), random.nextLong()))
    private val job: Job = SupervisorJob()
    private val scope = CoroutineScope(job + Dispatchers.Default)
    private val gate = AdmissionGate()
    private val members = MembershipView()

    @Volatile
    private var fleet: FleetRunner? = null

    @Volatile
    private var forwards: OwnerForwarder? = null

    @Volatile
    private var self: EntryRef = first
    private val crashes = CrashTable(position = { members.positionOf(settings.id) })
    private val explain = ExplainLog()
    private val log = EventLog()
    private val services = ServiceRegistry(settings, ticker, random, explain, crashes, ::carryOut)
    private val events = FleetEventHandler(services, members, gate, ::observe)
    private val keys = IdempotencyKeyService(first, platform.table, members, clock, SplitMix(random.nextLong())) { forwards }
    private val inbox = PeerMessageHandler(services, crashes, ticker, { forwards }) { fleet }
    private val peers = PeerNetwork(
        PeerSettings(settings.peerHost, settings.peerPort, settings.secret),
        { Peer(self, peerAddress) },
        PeerMetrics(registry),
        ticker,
        SplitMix(random.nextLong()),
        onLinkLost = { forwards?.linkLost(it) },
        onMessage = inbox::receive,
    )
    private val directory = DirectoryRoute(services, clock) { fleet }
    private val calls = CallServer(
        settings.http,
        documents = { services[it]?.document },
        runners = ::runner,
        ticker = ticker,
        metrics = metrics,
        entryName = settings.id.value,
        probeAllowed = services::takeProbe,
        ownPaths = directory::handle,
        keys = keys,
    )
    private val reports = StatusReporter(settings, services, recent, calls::inFlight) { fleet }

    /** What operators ask of this entry. */
    val operators: OperatorBackend =
        NodeOperatorBackend(settings, platform, { fleet }, gate, reports, explain, metrics)

    /** `ip:port` for callers, after [start]. */
    val callersAddress: String get() = "${settings.address}:${calls.port}"

    /** `ip:port` of the peer listener, after [start]. */
    @Volatile
    var peerAddress: String = "${settings.address}:${settings.peerPort}"
        private set

    /** Why new work is refused; null when it is taken. */
    val refusal get() = gate.refusal

    /** Opens the listeners and joins the cell. Work is taken once [refusal] is null. */
    suspend fun start() {
        calls.start()
        peers.start(scope)
        peerAddress = "${settings.address}:${peers.port}"
        val desk = ForwardedRequestHandler(settings.http.keptBodyBytes, keys) { calls }
        val seed = random.nextLong()
        forwards =
            OwnerForwarder(scope, SplitMix(seed), peers::send, peers::put) { _, head, body -> desk.serve(head, body) }
        val node = FleetNode(
            FleetSettings(first, peerAddress, callersAddress, settings.zone, settings.seeds, settings.budget),
            ticker,
            clock,
            SplitMix(random.nextLong()),
        )
        val ports = StorePorts(platform.table, platform.objects, platform.vms)
        val runner = FleetRunner(node, ports, ::send, events::offer)
        fleet = runner
        scope.launch { runner.run() }
        scope.launch { events.run(runner) }
        scope.launch { tick() }
        scope.launch { sweep() }
        calls.warmUp()
        gate.start()
        runner.input { ready(true) }
    }

    /** Makes an operator's change and waits for its outcome. */
    suspend fun change(request: ChangeRequest): ChangeResult =
        fleet?.change(request) ?: ChangeResult.StoreUnavailable

    /**
     * Ends service without interrupting a request: no longer named to callers, the entry serves until no caller holds
     * its address and the last request has ended, for at most the settings' bound.
     *
     * @return true when no request was cut
     */
    suspend fun drain(): Boolean {
        fleet?.input { leave() }
        val clean = calls.drain(settings.drainLimit, settings.namedFor)
        stop()
        return clean
    }

    /** Whether a document of [service] is in force here. */
    fun serves(service: ServiceName): Boolean = services[service] != null

    /** Stops without a pause and closes everything; the others are told unless [announce] is false. */
    suspend fun stop(announce: Boolean = true) {
        if (job.isCancelled) return
        gate.stop()
        if (announce) {
            fleet?.input { end() }
            delay(FAREWELL)
        }
        calls.stop()
        job.cancelAndJoin()
    }

    private fun observe(event: FleetEvent) {
        log.record(event)
        if (event !is FleetEvent.Renamed) return
        self = event.self
        keys.rename(event.self)
        peers.renamed()
    }

    private fun runner(service: ServiceName): CallRunner? {
        val known = services[service] ?: return null
        return gate.refusal?.let { RefusingRunner(Refusal(it, RETRY_ELSEWHERE)) } ?: known.runner
    }

    private suspend fun tick() {
        while (true) {
            delay(TICK)
            services.tick()
        }
    }

    private suspend fun sweep() {
        val jitter = SplitMix(random.nextLong())
        while (true) {
            delay(SWEEP * (1 + jitter.nextDouble()))
            keys.sweep()
            keys.sweepClaims()
        }
    }

    private fun send(output: FleetOutput.Send) {
        peers.send(output.address, PeerMessage.Fleet(output.message))
    }

    private fun carryOut(service: ServiceName, command: Command) {
        when (command) {
            is Command.Send -> {
                val address = members.addressOf(command.to) ?: return
                peers.send(address, PeerMessage.Slot(service, command.message))
            }
            is Command.ReportCrash -> {
                val news = PeerMessage.CrashNews(command.fingerprint, command.upstream)
                members.all.filter { it.ref != self }.forEach { peers.send(it.address, news) }
            }
            is Command.Probe -> scope.launch { calls.probe(command.upstream.address) }
            else -> Unit
        }
    }

    private companion object {
        /** Period of the decisions' systems. */
        val TICK = 10.milliseconds

        /** Records and claims live for minutes; jitter keeps entries from scanning together. */
        val SWEEP = 30.seconds

        /** Another entry takes the request at once; this leaves the caller time to turn to it. */
        val RETRY_ELSEWHERE = 100.milliseconds

        /** Lets the last messages reach the peers. */
        val FAREWELL = 200.milliseconds
    }
}
