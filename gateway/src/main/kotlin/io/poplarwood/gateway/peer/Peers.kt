package io.poplarwood.gateway.peer

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.decision.crash.CrashSuspects
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.store.FollowPace
import io.poplarwood.gateway.store.Rows
import io.poplarwood.gateway.store.StateBook
import io.poplarwood.gateway.store.Topic
import io.poplarwood.gateway.store.WatchDuty
import kotlinx.coroutines.CompletableDeferred
import java.util.EnumSet
import kotlin.time.Duration
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
    private val roles: ActiveSet,
    private val book: StateBook,
    crashes: CrashSuspects,
    private val ticker: Ticker,
    private val log: EventLog,
    private val pump: () -> Unit,
) : WatchDuty {
    private val began = ticker.now()
    private val audience = GreetingPlan(record.zone, table, roles)

    /** What entries tell each other of requests under which upstreams ended. */
    val crashes = CrashExchange(self, crashes, table, ticker, log, send)

    /** Whether this entry takes requests, as peers are told. */
    var serving: Boolean = false

    /** Whether this entry has begun a planned stop. */
    var stopping: Boolean = false

    /** Whether the store answered this entry's last calls. */
    val storeAnswers: Boolean get() = unanswered.isEmpty()

    private val unanswered = EnumSet.noneOf(Topic::class.java)
    private val choice = FollowerChoice(self, record.zone)
    private var greetedAt = -Duration.INFINITE

    /** Whether there is something to tell before the next greeting is due. */
    private var urgent = false

    /** Requests of this entry at upstreams. */
    lateinit var loads: LoadBoard

    /** Called when another entry knows more of the store. */
    var askPeers: () -> Unit = {}
    private var told = 0L to 0L

    override val entries: Int get() = table.all.size + 1

    private var look = CompletableDeferred<Unit>()

    override suspend fun nextLook() = look.await()

    /** Greets other entries when that is due; finds those that have become silent; to be called again and again. */
    fun tick() {
        findSilent(ticker.now())
        refreshRoles()
        val period = if (audience.wide) GreetingPlan.ACTIVE else GreetingPlan.STANDBY
        if (urgent || hasNews() || ticker.now() - greetedAt >= period) hello()
        look.complete(Unit)
        look = CompletableDeferred()
    }

    private fun versions() = book.stateVersion to book.upstreamVersion

    private fun hasNews() = audience.wide && versions() != told

    private fun findSilent(now: Duration) {
        for (row in table.silence(now)) {
            log.log(GatewayEvent.PEER_SILENT, row.name, (now - row.heardAt).inWholeMilliseconds)
            loads.forget(row.name)
        }
    }

    private fun refreshRoles() {
        if (!roles.refresh()) return
        urgent = true
        log.log(GatewayEvent.ROLES_CHANGED, record.zone, roles.chosen.joinToString(" "), roles.active)
    }

    /** Greets other entries now. */
    fun hello() {
        val now = ticker.now()
        greetedAt = now
        urgent = false
        told = versions()
        for (greeting in audience.next()) {
            val load = if (greeting.withLoad) loads.whole() else null
            send(greetingOf(now, greeting.every, load), greeting.to)
        }
    }

    private fun greetingOf(now: Duration, every: Duration, load: List<UpstreamLoad>?) = PeerMessage.Hello(
        from = self,
        zone = record.zone,
        callers = record.callers,
        peers = record.peers,
        serving = serving,
        stopping = stopping,
        storeAnswers = storeAnswers,
        stateVersion = book.stateVersion,
        upstreamVersion = book.upstreamVersion,
        coveredVersion = book.coveredVersion,
        confirmedMs = (now - book.confirmedAt).inWholeMilliseconds,
        upMs = (now - began).inWholeMilliseconds,
        requestsPerS = roles.requestsPerS,
        capacity = record.capacity,
        active = roles.active,
        zoneActive = if (roles.active) roles.chosen else emptyList(),
        crashes = crashes.digest,
        everyMs = every.inWholeMilliseconds.toInt(),
        load = load,
    )

    /** Sends [news] of upstreams to the peers of the own zone that take requests, or to those of other zones. */
    fun sendLoads(news: List<UpstreamLoad>, near: Boolean) {
        if (news.isEmpty()) return
        val taking = table.active.filter { (it.record.zone == record.zone) == near }
        send(PeerMessage.LoadNews(self, news), taking.map { it.record.peers })
    }

    override fun pace(): FollowPace {
        if (stopping) return FollowPace.NONE
        return choice.pace(table.live, roles.active, storeAnswers, ticker.now() - book.confirmedAt)
    }

    override fun answers(topic: Topic, answers: Boolean) {
        val changed = if (answers) unanswered.remove(topic) else unanswered.add(topic)
        if (changed) urgent = true
    }

    override fun known(topic: Topic): Long = if (topic == Topic.UPSTREAMS) book.coveredVersion else book.stateVersion

    override fun changed(topic: Topic, rows: Rows, after: Long) {
        val news = rows.rows.map(PeerStateRow::of)
        if (topic != Topic.UPSTREAMS || news.sumOf { it.value?.size ?: 0 } > MAX_NEWS_BYTES) return hello()
        send(PeerMessage.UpstreamNews(self, after, news), table.live.map { it.record.peers })
    }

    /** Takes in what another entry sent. */
    fun receive(message: PeerMessage) {
        when (message) {
            is PeerMessage.Hello -> heard(message)
            is PeerMessage.LoadNews -> loads.receive(message.from, message.load, whole = false)
            is PeerMessage.UpstreamNews -> upstreamsChanged(message)
            is PeerMessage.CrashNews -> crashes.receive(message)
        }
        if (message !is PeerMessage.CrashNews) pump()
    }

    private fun heard(hello: PeerMessage.Hello) {
        val before = table[hello.from]
        val left = before?.hello?.stopping ?: false
        val wasActive = before?.active ?: false
        val fresh = table.heard(hello, ticker.now())
        if (fresh) log.log(GatewayEvent.PEER_SEEN, hello.from, hello.callers)
        if (hello.stopping && !left) log.log(GatewayEvent.PEER_LEAVING, hello.from)
        hello.load?.let { loads.receive(hello.from, it, whole = true) }
        compareKnowledge(hello)
        crashes.compare(hello.crashes, hello.peers)
        if (hello.active && !wasActive) tookOver(hello)
        // An entry that has just started learns at once of this one, and what there is to know.
        if (fresh && roles.active) send(greetingOf(ticker.now(), GreetingPlan.ACTIVE, null), listOf(hello.peers))
    }

    /** Compares what the sender of [hello] knows of the store with what is known here. */
    private fun compareKnowledge(hello: PeerMessage.Hello) {
        if (hello.upstreamVersion <= book.coveredVersion) book.coverTo(hello.coveredVersion)
        val behind = hello.upstreamVersion > book.upstreamVersion || hello.stateVersion > book.stateVersion
        if (behind) askPeers() else book.confirm(ticker.now() - hello.confirmedMs.milliseconds - ON_THE_WAY)
    }

    /** An entry takes callers that did not before: its zone greets it, and those that do so elsewhere hear of it. */
    private fun tookOver(hello: PeerMessage.Hello) {
        if (hello.zone == record.zone) {
            urgent = true
        } else if (!roles.active) {
            send(hello, roles.leads.map { it.record.peers })
        }
    }

    private fun upstreamsChanged(news: PeerMessage.UpstreamNews) {
        val rows = news.rows.map { it.toStored() }
        val version = rows.maxOfOrNull { it.version } ?: return
        val known = book.upstreamVersion
        book.takeChangedUpstreams(Rows(rows, version), news.after, news.from)
        if (version > known && roles.isLead) relay(news)
    }

    /** Passes [news] on to those whom its sender does not reach: an entry that takes no callers knows few others. */
    private fun relay(news: PeerMessage.UpstreamNews) {
        val sender = table[news.from] ?: return
        val near = sender.record.zone == record.zone
        if (near && sender.active) return
        val to = if (sender.active) table.liveOf(record.zone) else table.live
        send(PeerMessage.UpstreamNews(self, news.after, news.rows), (to - sender).map { it.record.peers })
    }

    private companion object {
        /** Time that a greeting may take from one entry to another. */
        val ON_THE_WAY = 50.milliseconds

        /** A datagram that is larger may be cut on the way. */
        const val MAX_NEWS_BYTES = 1_000
    }
}
