package io.poplarwood.gateway.peer

import io.netty.channel.EventLoopGroup
import io.poplarwood.api.id.EntryId
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.decision.CrashSuspects
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.store.StateBook
import io.poplarwood.gateway.upstream.UpstreamTable

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
) {
    private val socket = PeerSocket(group, record.peers, ::receive, unreadable = {})

    /** Whether this entry takes requests, as peers are told. */
    var serving: Boolean = false

    /** Whether this entry has begun a planned stop. */
    var stopping: Boolean = false

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
            stateVersion = book.stateVersion,
            upstreamVersion = book.upstreamVersion,
            confirmedMs = confirmed,
            load = loads.whole(),
        )
        socket.send(hello, table.all.map { it.record.peers })
    }

    /** Sends what changed at upstreams to the peers that serve requests. */
    fun sendLoads() {
        val news = loads.take()
        if (news.isEmpty()) return
        socket.send(PeerMessage.LoadNews(self, news), table.live.map { it.record.peers })
    }

    /** Sends news of a lost upstream. */
    fun sendCrash(fingerprint: Long, upstream: String) {
        log.log(GatewayEvent.CRASH_SUSPECT, fingerprint.toString(HEX), upstream)
        socket.send(PeerMessage.CrashNews(self, fingerprint, upstream), table.live.map { it.record.peers })
    }

    private fun receive(message: PeerMessage) {
        when (message) {
            is PeerMessage.Hello -> heard(message)
            is PeerMessage.LoadNews -> loads.receive(message.from, message.load, whole = false)
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
    }

    private companion object {
        const val HEX = 16
    }
}
