package io.poplarwood.gateway.peer

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
import java.util.EnumSet
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tells other entries what this one knows and takes in what they tell.
 *
 * @param send sends a message to each of the given `ip:port`; any may be lost
 */
internal class Peers(
    private val send: (PeerMessage, List<String>) -> Unit,
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
    private val began = ticker.now()

    /** Whether this entry takes requests, as peers are told. */
    var serving: Boolean = false

    /** Whether this entry has begun a planned stop. */
    var stopping: Boolean = false

    private val unanswered = EnumSet.noneOf(Topic::class.java)
    private val choice = FollowerChoice(self, record.zone)

    /** Requests of this entry at upstreams. */
    lateinit var loads: LoadBoard

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
            storeAnswers = unanswered.isEmpty(),
            stateVersion = book.stateVersion,
            upstreamVersion = book.upstreamVersion,
            coveredVersion = book.coveredVersion,
            confirmedMs = confirmed,
            upMs = (now - began).inWholeMilliseconds,
            requestsPerS = loads.requestsPerS(now),
            load = loads.whole(),
        )
        send(hello, table.all.map { it.record.peers })
    }

    /** Sends what changed at upstreams to the peers that serve requests. */
    fun sendLoads() {
        val news = loads.take()
        if (news.isEmpty()) return
        val taking = table.live.filter { (it.hello?.requestsPerS ?: 0) > 0 }
        send(PeerMessage.LoadNews(self, news), taking.map { it.record.peers })
    }

    /** Sends news of a lost upstream. */
    fun sendCrash(fingerprint: Long, upstream: String) {
        log.log(GatewayEvent.CRASH_SUSPECT, fingerprint.toString(HEX), upstream)
        send(PeerMessage.CrashNews(self, fingerprint, upstream), table.live.map { it.record.peers })
    }

    override fun follows(): Boolean =
        !stopping && choice.follows(table.live, unanswered.isEmpty(), ticker.now() - book.confirmedAt)

    override fun answers(topic: Topic, answers: Boolean) {
        val changed = if (answers) unanswered.remove(topic) else unanswered.add(topic)
        if (changed) hello()
    }

    override fun known(topic: Topic): Long = if (topic == Topic.UPSTREAMS) book.coveredVersion else book.stateVersion

    override fun changed(topic: Topic, rows: Rows, after: Long) {
        if (topic == Topic.UPSTREAMS) {
            val news = rows.rows.map(PeerStateRow::of)
            if (news.sumOf { it.value?.size ?: 0 } > MAX_NEWS_BYTES) return hello()
            send(PeerMessage.UpstreamNews(self, after, news), table.live.map { it.record.peers })
        } else {
            hello()
        }
    }

    /** Takes in what another entry sent. */
    fun receive(message: PeerMessage) {
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
        if (hello.upstreamVersion <= book.coveredVersion) book.coverTo(hello.coveredVersion)
        val asFresh = hello.upstreamVersion <= book.upstreamVersion && hello.stateVersion <= book.stateVersion
        if (asFresh) book.confirm(now - hello.confirmedMs.milliseconds - ON_THE_WAY)
    }

    private companion object {
        const val HEX = 16

        /** Time that a greeting may take from one entry to another. */
        val ON_THE_WAY = 50.milliseconds

        /** A datagram that is larger may be cut on the way. */
        const val MAX_NEWS_BYTES = 1_000
    }
}
