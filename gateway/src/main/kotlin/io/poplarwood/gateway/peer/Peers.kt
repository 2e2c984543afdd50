package io.poplarwood.gateway.peer

import io.netty.channel.EventLoopGroup
import io.poplarwood.api.id.EntryId
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.decision.CrashSuspects
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.store.Rows
import io.poplarwood.gateway.store.StateBook
import io.poplarwood.gateway.store.Topic
import io.poplarwood.gateway.store.WatchDuty
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlin.time.Duration.Companion.milliseconds

/** Tells other entries what this one knows and takes in what they tell. */
internal class Peers(
    group: EventLoopGroup,
    private val self: String,
    private val record: PeerRecord,
    private val table: PeerTable,
    private val upstreams: UpstreamTable,
    private val book: StateBook,
    private val crashes: CrashSuspects,
    private val ticker: Ticker,
    private val log: EventLog,
    private val pump: () -> Unit,
) : WatchDuty {
    private val socket = PeerSocket(group, record.peers, ::receive, unreadable = {})

    private val began = ticker.now()

    /** Whether this entry takes requests, as peers are told. */
    var serving: Boolean = false

    /** Whether this entry has begun a planned stop. */
    var stopping: Boolean = false

    override var storeAnswers: Boolean = true

    /** Requests of this entry at upstreams. */
    lateinit var loads: LoadBoard

    /** Opens the socket. */
    suspend fun start() = socket.start()

    /** Greets every known peer; finds those that have become silent. */
    fun hello() {
        val now = ticker.now()
        for (row in table.silence(now)) {
            log.log(GatewayEvent.PEER_SILENT, row.name, (now - row.heardAt).inWholeMilliseconds)
            upstreams.forget(EntryId(row.name))
        }
        val confirmed = (now - book.confirmedAt).inWholeMilliseconds
        val hello = PeerMessage.Hello(
            from = self,
            zone = record.zone,
            callers = record.callers,
            peers = record.peers,
            serving = serving,
            stopping = stopping,
            storeAnswers = storeAnswers,
            stateVersion = book.stateVersion,
            upstreamVersion = book.upstreamVersion,
            confirmedMs = confirmed,
            upMs = (now - began).inWholeMilliseconds,
            requestsPerS = loads.requestsPerS(now),
            load = loads.whole(),
        )
        socket.send(hello, table.all.map { it.record.peers })
    }

    /** Sends what changed at upstreams to the peers that serve requests. */
    fun sendLoads() {
        val news = loads.take()
        if (news.isEmpty()) return
        val taking = table.live.filter { (it.hello?.requestsPerS ?: 0) > 0 }
        socket.send(PeerMessage.LoadNews(self, news), taking.map { it.record.peers })
    }

    /** Sends news of a lost upstream. */
    fun sendCrash(fingerprint: Long, upstream: String) {
        log.log(GatewayEvent.CRASH_SUSPECT, fingerprint.toString(HEX), upstream)
        socket.send(PeerMessage.CrashNews(self, fingerprint, upstream), table.live.map { it.record.peers })
    }

    /**
     * In each zone the first of the entries that reach the store follows it for all; every entry does while nothing
     * that it knows was confirmed lately.
     */
    override fun watches(): Boolean {
        val now = ticker.now()
        if (stopping) return false
        if (now - book.confirmedAt > UNCONFIRMED) return true
        return table.live.none {
            val hello = it.hello
            hello != null && it.record.zone == record.zone && it.name < self && hello.storeAnswers && !hello.stopping
        }
    }

    override fun known(topic: Topic): Long = if (topic == Topic.UPSTREAMS) book.coveredVersion else book.stateVersion

    override fun changed(topic: Topic, rows: Rows, after: Long) {
        if (topic == Topic.UPSTREAMS) {
            val news = rows.rows.map(PeerStateRow::of)
            if (news.sumOf { it.value?.size ?: 0 } > MAX_NEWS_BYTES) return hello()
            socket.send(PeerMessage.UpstreamNews(self, after, news), table.live.map { it.record.peers })
        } else {
            hello()
        }
    }

    private fun receive(message: PeerMessage) {
        when (message) {
            is PeerMessage.Hello -> heard(message)
            is PeerMessage.LoadNews -> loads.receive(message.from, message.load, whole = false)
            is PeerMessage.UpstreamNews -> {
                val rows = message.rows.map { it.toStored() }
                val version = rows.maxOfOrNull { it.version } ?: return
                book.takeChangedUpstreams(Rows(rows, version), message.after, message.from)
            }
            is PeerMessage.CrashNews -> crashes.lost(message.fingerprint, message.upstream, ticker.now())
        }
        if (message !is PeerMessage.CrashNews) pump()
    }

    private fun heard(hello: PeerMessage.Hello) {
        val now = ticker.now()
        val left = table[hello.from]?.hello?.stopping ?: false
        if (table.heard(hello, now)) log.log(GatewayEvent.PEER_SEEN, hello.from, hello.callers)
        if (hello.stopping && !left) log.log(GatewayEvent.PEER_LEAVING, hello.from)
        loads.receive(hello.from, hello.load, whole = true)
        val asFresh = hello.upstreamVersion <= book.upstreamVersion && hello.stateVersion <= book.stateVersion
        if (asFresh) book.confirm(now - hello.confirmedMs.milliseconds - ON_THE_WAY)
    }

    private companion object {
        const val HEX = 16

        /** Longer than the entry that follows the store needs to find a silent connection and read again. */
        val UNCONFIRMED = 2_200.milliseconds

        /** Time that a greeting may take from one entry to another. */
        val ON_THE_WAY = 50.milliseconds

        /** A datagram that is larger may be cut on the way. */
        const val MAX_NEWS_BYTES = 1_000
    }
}
