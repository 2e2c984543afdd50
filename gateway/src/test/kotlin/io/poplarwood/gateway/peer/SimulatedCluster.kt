package io.poplarwood.gateway.peer

import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.SplitMix
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.decision.Placement
import io.poplarwood.gateway.decision.SlotQueue
import io.poplarwood.gateway.decision.SlotRequest
import io.poplarwood.gateway.decision.crash.CrashSuspects
import io.poplarwood.gateway.directory.OwnEntry
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.metrics.GatewayMetrics
import io.poplarwood.gateway.runtime.AvailabilityTracker
import io.poplarwood.gateway.runtime.ConfigurationAdmission
import io.poplarwood.gateway.runtime.RateLimiting
import io.poplarwood.gateway.runtime.StateExchange
import io.poplarwood.gateway.store.StateReplica
import io.poplarwood.gateway.store.StateWatcher
import io.poplarwood.gateway.store.Topic
import io.poplarwood.gateway.upstream.AvailabilityState
import io.poplarwood.gateway.upstream.LimitObservation
import io.poplarwood.gateway.upstream.UpstreamRow
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Entries that share a store and exchange messages, in virtual time. A datagram takes [DATAGRAM_TIME]; a peer's reply
 * takes its size on the [links] as well.
 */
internal class SimulatedCluster(
    private val scope: CoroutineScope,
    private val ticker: Ticker,
    private val store: SimulatedStore,
    zones: List<String>,
    perZone: Int,
    seed: Long,
    private val mbit: (String) -> Double = { DEFAULT_LINK_MBPS },
) {
    private val random = SplitMix(seed)

    /** Addresses whose incoming datagrams are lost. */
    val unreachable = HashSet<String>()

    /** Names of entries that have stopped; they neither send nor receive datagrams. */
    val stopped = HashSet<String>()

    /** Names of entries that exchange neither datagrams nor replies with others. */
    val isolated = HashSet<String>()

    /** Names of entries that get no replies from others, only datagrams. */
    val withoutReplies = HashSet<String>()

    /** Time for which what arrives at an entry waits until its busy event loop reads it, by entry name. */
    val readDelay = HashMap<String, Duration>().also { store.readDelay = it }

    val links = SimulatedLinks(ticker).also { store.links = it }

    /** Share of datagrams that is lost, 0.0 to 1.0. */
    var loss = 0.0

    /** Number of datagrams sent so far, one for each receiver. */
    var datagrams = 0L
        private set

    /** Number of heartbeats among [datagrams]. */
    var heartbeats = 0L
        private set

    /** Called with each message and the number of its receivers. */
    var onSend: (message: PeerMessage, receivers: Int) -> Unit = { _, _ -> }

    private val byName = LinkedHashMap<String, Entry>()

    /** The current incarnations of all entries. */
    val entries: List<Entry> get() = byName.values.toList()

    init {
        for (zone in zones) for (i in 1..perZone) byName["$zone-$i"] = Entry("$zone-$i", zone)
    }

    /** Starts all entries at random times within a second. */
    fun start() = entries.forEach { entry ->
        scope.launch {
            delay((random.nextDouble() * 1_000).milliseconds)
            entry.run()
        }
    }

    /** Ends the entry [name] without a graceful stop and starts it again after [downtime]. */
    suspend fun restart(name: String, downtime: Duration) {
        val previous = byName.getValue(name)
        previous.end()
        stopped += name
        links.clear(name)
        delay(downtime)
        byName[name] = Entry(name, previous.zone).also { it.run() }
        stopped -= name
    }

    /** The reply of [peer] to a request for [path] by the entry [self]; null when it is not whole in time. */
    private suspend fun fetch(self: String, peer: String, path: String): ByteArray? {
        val deadline = ticker.now() + PEER_QUERY_TIMEOUT
        delay(DATAGRAM_TIME * 2)
        val source = byName.getValue(peer)
        if (self in isolated || peer in isolated) {
            delay(deadline - ticker.now())
            return null
        }
        if (peer in stopped) return null
        if (self in withoutReplies) {
            delay(deadline - ticker.now())
            return null
        }
        val reply = source.exchange.reply(path) ?: return null
        val arrived = links.transfer(peer, self, reply.size, deadline - ticker.now())
        readDelay[self]?.let { delay(it) }
        return reply.takeIf { arrived && !source.ended && self !in isolated && peer !in isolated }
    }

    private fun send(from: String, message: PeerMessage, to: List<String>) {
        onSend(message, to.size)
        for (address in to) {
            datagrams++
            if (message is PeerMessage.Hello) heartbeats++
            scope.launch {
                delay(DATAGRAM_TIME + (readDelay[address] ?: Duration.ZERO))
                val lost = random.nextDouble() < loss || from in isolated || address in isolated
                if (!lost && address !in unreachable && address !in stopped) byName[address]?.peers?.receive(message)
            }
        }
    }

    /** One entry; its address is its name. */
    inner class Entry(val name: String, val zone: String) {
        private val table = PeerTable(name)
        private val log = EventLog()
        private val record = PeerRecord(zone, name, name)
        private val startedAt = ticker.now()

        private val scope = this@SimulatedCluster.scope.let { it + Job(it.coroutineContext.job) }

        /** What a request meets that arrives now, with a bound of [CHANGE_BOUND]. */
        val admission by lazy { ConfigurationAdmission(book.freshness, ticker, { peers.storeAway }) { CHANGE_BOUND } }

        /** Whether this incarnation has ended. */
        var ended = false
            private set

        /** Ends this incarnation without a graceful stop. */
        fun end() {
            ended = true
            scope.cancel()
        }

        /** Requests per second that the entry receives. */
        var requestsPerS = 0
        val roles = ActiveEntries(name, record, table) { OwnEntry(serving, ticker.now() - startedAt, requestsPerS) }
        val upstreams = UpstreamTable()
        val crashes = CrashSuspects()
        val book: StateReplica = StateReplica(SimulatedCodec, upstreams, { it() }, ticker, log, ::onStateChanged, {})
        private val serving: Boolean get() = book.state != null && upstreams.all.isNotEmpty()
        val peers: PeerGossip = PeerGossip(
            ::sendUnlessStopped,
            name,
            record,
            table,
            roles,
            book,
            crashes,
            ticker,
            log,
            READS_PER_S,
        ) {}

        val exchange =
            StateExchange(
                name,
                record,
                { peer, path -> fetch(name, peer, path) },
                table,
                roles::receivesRequests,
                book,
                mbit(name),
                { it() },
                random,
                scope,
                ticker,
                log,
                GatewayMetrics(),
            )

        private val availability =
            AvailabilityTracker(upstreams, random, log, { peers.loadGossip.scheduleUpdate(it) }) {}
        private val limiting: RateLimiting =
            RateLimiting(name, upstreams, table, roles, ticker, GatewayMetrics(), ::sendUnlessStopped, ::after) {
                queue.dispatch(ticker.now())
            }
        private val queue = SlotQueue(Placement(Zone(zone), random), upstreams, limiting.permits)

        init {
            peers.requestSync = exchange::scheduleSync
            peers.loadGossip = LoadGossip(
                name,
                upstreams,
                ticker,
                { after(3.milliseconds) { peers.sendLoadUpdates(peers.loadGossip.drainOwnZone(), near = true) } },
                { after(20.milliseconds) { peers.sendLoadUpdates(peers.loadGossip.drainOtherZones(), near = false) } },
                ::markDraining,
            ) { row, observation, source -> availability.observeLimit(row, observation, source, ticker.now()) }
            peers.onPermitMessage = limiting.exchange::receive
        }

        private fun onStateChanged() {
            peers.serving = serving
            peers.announceState()
        }

        private fun sendUnlessStopped(message: PeerMessage, to: List<String>) {
            if (name !in stopped && !ended) send(name, message, to)
        }

        private fun after(pause: Duration, action: () -> Unit) {
            scope.launch {
                delay(pause)
                if (!ended) action()
            }
        }

        /** Offers [request] to the queue of this entry. */
        fun offer(request: SlotRequest) = queue.offer(request, ticker.now())

        /** Records that the answer to a request sent to [row] at [sentAt] named the limit [perSecond]. */
        fun answered(row: UpstreamRow, perSecond: Double?, sentAt: Duration) {
            val now = ticker.now()
            availability.observeLimit(row, LimitObservation(perSecond, sentAt, now), name, now)
            row.ownInFlight--
            peers.loadGossip.scheduleUpdate(row)
            queue.dispatch(now)
        }

        /** Whether requests may be sent to [upstream]. */
        fun routesTo(upstream: String) =
            upstreams[upstream]?.let { it.availability.state(ticker.now()) != AvailabilityState.LEAVING } ?: false

        private fun markDraining(upstream: String, born: Long, source: String) {
            check(source != name) { "$name received its own update" }
            upstreams.markDraining(upstream, born, ticker.now())
        }

        fun run() {
            for (peer in entries) table.addStored(peer.name, PeerRecord(peer.zone, peer.name, peer.name), ticker.now())
            for (topic in listOf(Topic.DESIRED_STATE, Topic.UPSTREAMS)) {
                val watcher = StateWatcher(topic, store.of(name), book, ticker, random, log, peers)
                scope.launch {
                    watcher.readSnapshot()
                    watcher.follow()
                }
            }
            scope.launch {
                while (!ended) {
                    peers.tick()
                    exchange.syncIfBehind()
                    delay(if (roles.active) ACTIVE_TICK else STANDBY_TICK)
                }
            }
        }
    }

    companion object {
        /** Time within which a configuration must be in force. */
        val CHANGE_BOUND: Duration = 2.seconds
        private const val DEFAULT_LINK_MBPS = 1_000.0

        /** Read calls per second that a store allows to 134 entries. */
        private const val READS_PER_S = 6_000.0
        private val DATAGRAM_TIME: Duration = 2.milliseconds

        /** As in GatewayProcess. */
        private val PEER_QUERY_TIMEOUT: Duration = 500.milliseconds
        private val ACTIVE_TICK: Duration = 100.milliseconds
        private val STANDBY_TICK: Duration = 250.milliseconds
    }
}
