package io.poplarwood.gateway.runtime

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.Randomness
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.adapter.Adapter
import io.poplarwood.gateway.decision.Placement
import io.poplarwood.gateway.decision.ProbeChoice
import io.poplarwood.gateway.decision.RepeatBudget
import io.poplarwood.gateway.decision.RepeatLimits
import io.poplarwood.gateway.directory.Directory
import io.poplarwood.gateway.directory.OwnEntry
import io.poplarwood.gateway.http.BodyMemory
import io.poplarwood.gateway.http.CallerListener
import io.poplarwood.gateway.http.HttpCaller
import io.poplarwood.gateway.http.InternalListener
import io.poplarwood.gateway.http.InternalReply
import io.poplarwood.gateway.http.UpstreamLinks
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.metrics.GatewayMetrics
import io.poplarwood.gateway.peer.ActiveSet
import io.poplarwood.gateway.peer.CrashRecords
import io.poplarwood.gateway.peer.LoadBoard
import io.poplarwood.gateway.peer.PeerRecord
import io.poplarwood.gateway.peer.PeerSocket
import io.poplarwood.gateway.peer.PeerSync
import io.poplarwood.gateway.peer.PeerTable
import io.poplarwood.gateway.peer.Peers
import io.poplarwood.gateway.peer.ProbeDuty
import io.poplarwood.gateway.route.CallerLimits
import io.poplarwood.gateway.route.SplitPicker
import io.poplarwood.gateway.settings.GatewaySettings
import io.poplarwood.gateway.store.StateBook
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
 * One gateway: listeners, decisions, peers and the store, wired together on one event loop. Everything but the log's
 * writer runs on that loop, so no state needs a lock.
 *
 * @param sinceStart time since the program began to run; the runtime's own start comes before
 */
class GatewayProcess(
    private val settings: GatewaySettings,
    adapter: Adapter,
    private val ticker: Ticker,
    private val random: Randomness,
    private val sinceStart: () -> Duration,
) {
    private var bounds = settings.bounds
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val scope = CoroutineScope(SupervisorJob() + loop.asCoroutineDispatcher())
    private val log = EventLog()
    private val metrics = GatewayMetrics()
    private val caller = HttpCaller(group)
    private val store = adapter.store(caller, settings.store)
    private val upstreams = UpstreamTable()
    private val peerTable = PeerTable(settings.entry)
    private val splits = SplitPicker(random::nextDouble)
    private val timer = QueueTimer(loop, ::pump)
    private val decisions = Decisions(
        upstreams,
        Placement(Zone(settings.zone), random),
        RepeatBudget(
            settings.bounds.repeatWindowS.seconds,
            { RepeatLimits(bounds.repeatRatio, bounds.repeatSlack) },
            { peerTable.sharing(ticker.now()) },
        ),
        splits,
        timer::start,
    )
    private val links = UpstreamLinks(group, adapter.headers, ticker, BodyMemory(bodyShare()), metrics::connected)
    private val book: StateBook = StateBook(adapter.codec, upstreams, ticker, log, ::stateChanged) {
        links.closeIdle(it.record.address)
    }
    private val record =
        PeerRecord(settings.zone, settings.listen.callers, settings.listen.peers, EntryCapacity.of(settings.limits))
    private val roles = ActiveSet(settings.entry, record, peerTable, ::ownEntry)
    private val socket = PeerSocket(group, record.peers, { peers.receive(it) }, unreadable = {})
    private val peers: Peers =
        Peers(socket::send, settings.entry, record, peerTable, roles, book, decisions.crashes, ticker, log) {
            pump()
        }
    private val states = AvailabilityTracker(upstreams, random, log) { links.closeIdle(it.record.address) }
    private val loads: LoadBoard = LoadBoard(
        upstreams,
        ticker,
        { after(NEAR_NEWS) { peers.sendLoads(loads.takeNear(), near = true) } },
        { after(FAR_NEWS) { peers.sendLoads(loads.takeFar(), near = false) } },
        { upstream, born, source -> states.leaves(upstream, born, source, ticker.now()) },
    ).also { peers.loads = it }
    private val prober = LoadProber(
        upstreams,
        ProbeChoice { bounds.probesPerS },
        ProbeDuty(settings.entry, Zone(settings.zone), peerTable, roles),
        book,
        loads,
        caller,
        adapter.headers,
        metrics,
        states,
        ticker,
    )
    private val sync = PeerSync(::askPeer, peerTable, book, settings.zone, scope).also { peers.askPeers = it::lookSoon }
    private val crashRecords = CrashRecords(store, peers.crashes, scope, log).also {
        peers.crashes.onRefused = it::keep
        decisions.crashes.onReadmitted = { fingerprint -> if (roles.isLead) it.drop(fingerprint) }
    }
    private val register = EntryRegistration(store, settings.entry, record, peerTable, ticker, crashRecords, log)
    private val check = LivenessCheck(links::reaches, upstreams, ticker, scope)
    private val crashWatch = CrashDetector(decisions.crashes, check, random, ticker, scope, peers.crashes::tell)
    private val lessons = AttemptFeedback(decisions, loads, crashWatch, states, log)
    private val requestLog = RequestLog(log, metrics, ticker)
    private val flow = RequestHandler(book, decisions, links, loads, ticker, metrics, lessons, requestLog, log)
    private val directory =
        Directory(settings.zone, peerTable::zones, roles, settings.bounds.directoryLifetimeS.seconds)
    private val listener = CallerListener(
        group,
        settings.listen.callers,
        scope,
        ticker,
        adapter.headers,
        BodyMemory(bodyShare()),
        { book.state?.limits ?: CallerLimits() },
        { host, target -> book.routes.find(host, target)?.kind?.repeatable ?: false },
        flow::serve,
    )
    private val began = ticker.now()
    private val answers = EntryReplies(adapter.endpoints, directory, ::ownEntry)
    private var stopping = false
    private val serving: Boolean get() = book.state != null && upstreams.all.isNotEmpty() && !stopping

    /** Opens the listeners and begins to follow the store and the peers. */
    suspend fun start() = withContext(scope.coroutineContext) {
        flow.onFirstAnswer = { log.log(GatewayEvent.FIRST_ANSWER, sinceStart().inWholeMilliseconds) }
        keep("state") { follow(Topic.DESIRED_STATE) }
        keep("upstreams") { follow(Topic.UPSTREAMS) }
        keep("entries") { register.run() }
        listener.start()
        InternalListener(group, settings.listen.readiness, answers::readiness).start()
        InternalListener(group, settings.listen.directory, answers::entries).start()
        InternalListener(group, settings.listen.peers, ::knowledge).start()
        InternalListener(group, settings.listen.metrics) { InternalReply(OK, "text/plain", metrics.text()) }.start()
        socket.start()
        keep("look") { lookAround() }
        keep("probes") { probe() }
        val started = sinceStart().inWholeMilliseconds
        log.log(GatewayEvent.STARTED, settings.entry, settings.zone, settings.listen.callers, started)
    }

    /**
     * Ends service without cutting a request: callers are sent elsewhere at once, those that still come are served for
     * a while, and the last request in flight is awaited as long as the bound on a planned stop allows.
     */
    suspend fun stop() = withContext(scope.coroutineContext) {
        val grace = bounds.graceS.seconds
        val from = ticker.now()
        log.log(GatewayEvent.STOPPING, flow.inFlight, grace.inWholeMilliseconds)
        stopping = true
        peers.stopping = true
        peers.hello()
        listener.closesAfterAnswer = true
        while (ticker.now() - from < grace * ACCEPT_SHARE) {
            delay(STOP_STEP)
            if (ticker.now() - from > grace * QUIET_SHARE) listener.closeQuiet()
        }
        flow.refusing = true
        listener.close()
        while (ticker.now() - from < grace - STOP_MARGIN && flow.inFlight > 0) {
            delay(STOP_STEP)
            listener.closeQuiet()
        }
        flow.endAll()
        delay(STOP_STEP * 2)
        log.log(GatewayEvent.STOPPED, flow.inFlight, (ticker.now() - from).inWholeMilliseconds)
    }

    /** Takes over [next]; addresses, the name and the budgets' window hold until the next start. */
    suspend fun reload(next: GatewaySettings) = withContext(scope.coroutineContext) {
        val restart = next.copy(bounds = settings.bounds) != settings
        bounds = next.bounds
        log.log(GatewayEvent.RELOADED, next.bounds.toString(), restart)
    }

    /** Notes settings that cannot be used; the earlier ones hold. */
    fun reloadFailed(faults: List<String>) = log.log(GatewayEvent.RELOAD_FAILED, faults.joinToString("; "))

    /** Closes everything at once; the addresses are free when it returns. */
    fun close() {
        scope.cancel()
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly(CLOSE_LIMIT_MS)
    }

    private suspend fun follow(topic: Topic) {
        val watcher = StateWatcher(topic, store, book, ticker, random, log, peers)
        watcher.readWhole()
        watcher.follow()
    }

    private fun bodyShare(): Long = settings.limits.memoryMb * BODY_SHARE_BYTES

    private fun ownEntry() = ticker.now().let { OwnEntry(serving, it - began, loads.requestsPerS(it)) }

    private suspend fun askPeer(peer: String, question: String): ByteArray? =
        caller.call(peer, "GET", PEER_STATE + question, null, PEER_LIMIT)?.takeIf { it.status == OK }?.body

    private fun knowledge(target: String) = InternalReply(OK, CBOR, sync.answer(target.removePrefix(PEER_STATE)))

    private suspend fun probe() {
        while (true) {
            if (roles.active) prober.tick(scope)
            if (roles.active) delay(PROBES) else peers.nextLook()
        }
    }

    /** All that is done again and again stands in one loop, so that an idle entry seldom wakes. */
    private suspend fun lookAround() {
        while (true) {
            peers.tick()
            sync.look()
            book.tick()
            links.closeExpired()
            delay(if (roles.active || !serving) ACTIVE_LOOK else STANDBY_LOOK)
        }
    }

    private fun pump(): Boolean {
        decisions.pump(ticker.now())
        return decisions.waiting
    }

    private fun after(pause: Duration, work: () -> Unit) {
        loop.schedule(work, pause.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun stateChanged() {
        splits.reset()
        pump()
        if (peers.serving || !serving) return
        peers.serving = true
        val ms = sinceStart().inWholeMilliseconds
        log.log(GatewayEvent.READY, book.state?.version, upstreams.all.size, "store", ms)
        peers.hello()
    }

    /** Runs [part] and starts it again when it fails. */
    private fun keep(part: String, work: suspend () -> Unit) = scope.launch {
        while (true) {
            try {
                work()
                return@launch
            } catch (e: kotlinx.coroutines.CancellationException) {
                throw e
            } catch (e: Exception) {
                log.log(GatewayEvent.FAILED, part, e.stackTraceToString())
                delay(RESTART)
            }
        }
    }

    private companion object {
        const val OK = 200
        const val TEXT = "text/plain"
        const val CBOR = "application/cbor"

        /** Path of the peers' listener that answers with all that the entry knows of the store. */
        const val PEER_STATE = "/state/"
        val PEER_LIMIT = 500.milliseconds

        /** Bytes held at once of request bodies, and as many of answers, for each megabyte of the VM. */
        const val BODY_SHARE_BYTES = 100L * 1024

        /** How often an entry looks whether something is due. */
        val ACTIVE_LOOK = 100.milliseconds
        val STANDBY_LOOK = 250.milliseconds

        val PROBES = 20.milliseconds

        /** News of load are gathered for this long, since every entry that takes requests has to read each of them. */
        val NEAR_NEWS = 3.milliseconds
        val FAR_NEWS = 20.milliseconds
        val RESTART = 200.milliseconds
        const val CLOSE_LIMIT_MS = 2_000L
        val STOP_STEP = 20.milliseconds

        /** Shares of the bound on a planned stop: idle connections end, new requests are refused. */
        const val QUIET_SHARE = 0.4
        const val ACCEPT_SHARE = 0.5

        /** The process must have ended before it is killed. */
        val STOP_MARGIN = 400.milliseconds
    }
}
