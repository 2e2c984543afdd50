package io.poplarwood.gateway.peer

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.poplarwood.api.random.SplitMix
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.decision.crash.CrashSuspects
import io.poplarwood.gateway.directory.OwnEntry
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.route.CallerLimits
import io.poplarwood.gateway.route.DesiredState
import io.poplarwood.gateway.store.StateCodec
import io.poplarwood.gateway.store.StateReplica
import io.poplarwood.gateway.store.StateWatcher
import io.poplarwood.gateway.store.StoreError
import io.poplarwood.gateway.store.Topic
import io.poplarwood.gateway.support.upstream
import io.poplarwood.gateway.upstream.AvailabilityState
import io.poplarwood.gateway.upstream.Upstream
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Entries that share a store and exchange messages, in virtual time. A datagram takes [DATAGRAM_TIME]. */
internal class SimulatedCluster(
    private val scope: CoroutineScope,
    private val ticker: Ticker,
    private val store: SimulatedStore,
    zones: List<String>,
    perZone: Int,
    seed: Long,
) {
    private val random = SplitMix(seed)

    /** Addresses whose incoming datagrams are lost. */
    val unreachable = HashSet<String>()

    /** Names of entries that have stopped; they neither send nor receive datagrams. */
    val stopped = HashSet<String>()

    /** Share of datagrams that is lost, 0.0 to 1.0. */
    var loss = 0.0

    /** Number of datagrams sent so far, one for each receiver. */
    var datagrams = 0L
        private set

    /** Number of heartbeats among [datagrams]. */
    var heartbeats = 0L
        private set

    val entries: List<Entry> = zones.flatMap { zone -> List(perZone) { Entry("$zone-${it + 1}", zone) } }
    private val byName = entries.associateBy { it.name }

    /** Starts all entries at random times within a second. */
    fun start() = entries.forEach { entry ->
        scope.launch {
            delay((random.nextDouble() * 1_000).milliseconds)
            entry.run()
        }
    }

    private suspend fun fetch(peer: String, query: String): ByteArray? {
        delay(DATAGRAM_TIME * 2)
        return byName.getValue(peer).sync.reply(query)
    }

    private fun send(message: PeerMessage, to: List<String>) {
        for (address in to) {
            datagrams++
            if (message is PeerMessage.Hello) heartbeats++
            scope.launch {
                delay(DATAGRAM_TIME)
                val lost = random.nextDouble() < loss
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

        /** Requests per second that the entry receives. */
        var requestsPerS = 0
        val roles = ActiveEntries(name, record, table) { OwnEntry(serving, ticker.now() - startedAt, requestsPerS) }
        val upstreams = UpstreamTable()
        val crashes = CrashSuspects()
        val book: StateReplica = StateReplica(TextCodec, upstreams, ticker, log, { peers.serving = serving }, {})
        private val serving: Boolean get() = book.state != null && upstreams.all.isNotEmpty()
        val peers: PeerGossip = PeerGossip(
            { message, to -> if (name !in stopped) send(message, to) },
            name,
            record,
            table,
            roles,
            book,
            crashes,
            ticker,
            log,
        ) {}

        val sync = PeerSync(::fetch, table, book, zone, scope)

        init {
            peers.requestSync = sync::scheduleSync
            peers.loadGossip = LoadGossip(upstreams, ticker, {}, {}, ::markDraining)
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
                while (true) {
                    peers.tick()
                    sync.syncIfBehind()
                    delay(if (roles.active) ACTIVE_TICK else STANDBY_TICK)
                }
            }
        }
    }

    /** The value of a row is the version of a desired state or the state of an upstream, as text. */
    private object TextCodec : StateCodec {
        override fun desiredState(value: ByteArray): Result<DesiredState, StoreError.Malformed> =
            Ok(DesiredState(value.decodeToString().toLong(), persistentMapOf(), persistentListOf(), CallerLimits()))

        override fun upstream(key: String, value: ByteArray): Result<Upstream, StoreError.Malformed> =
            Ok(upstream(key, draining = value.decodeToString() == "draining"))
    }

    private companion object {
        val DATAGRAM_TIME: Duration = 2.milliseconds
        val ACTIVE_TICK: Duration = 100.milliseconds
        val STANDBY_TICK: Duration = 250.milliseconds
    }
}
