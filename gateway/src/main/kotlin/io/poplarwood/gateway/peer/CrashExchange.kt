package io.poplarwood.gateway.peer

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.decision.crash.CrashLoss
import io.poplarwood.gateway.decision.crash.CrashRow
import io.poplarwood.gateway.decision.crash.CrashSuspects
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tells other entries of requests under which upstreams ended, and takes in what they tell.
 *
 * A loss is told at once. Since that news may be lost, and entries start later, greetings carry [digest]: an entry that
 * is greeted with another one than its own sends what it knows.
 *
 * @param send sends a message to each of the given `ip:port`; any may be lost
 */
internal class CrashExchange(
    private val self: String,
    private val crashes: CrashSuspects,
    private val table: PeerTable,
    private val ticker: Ticker,
    private val log: EventLog,
    private val send: (PeerMessage, List<String>) -> Unit,
) {
    /** A number that follows from what this entry knows. */
    val digest: Long get() = crashes.digest(ticker.now())

    /** Called when this entry finds that requests have to be refused from now on. */
    var onRefused: (CrashSuspectNews) -> Unit = {}

    /** Tells all entries of [loss] under requests with [fingerprint]. */
    fun tell(fingerprint: Long, loss: CrashLoss) {
        log(fingerprint, loss, self)
        val news = CrashSuspectNews(fingerprint, listOf(newsOf(loss, ticker.now())))
        send(PeerMessage.CrashNews(self, listOf(news)), table.live.map { it.record.peers })
    }

    /** Sends the entry at [peer] all that it should know, if its [digest] says that it knows something else. */
    fun compare(digest: Long, peer: String) {
        if (digest == this.digest) return
        val now = ticker.now()
        val rows = crashes.shared(now).entries.sortedByDescending { it.value.seenAt }.take(MOST_AT_ONCE)
        for ((fingerprint, row) in rows) {
            send(PeerMessage.CrashNews(self, listOf(newsOf(fingerprint, row, now))), listOf(peer))
        }
    }

    /** Takes in what another entry told. */
    fun receive(news: PeerMessage.CrashNews) = news.suspects.forEach { take(it, news.from) }

    /** Takes in what [from] told of requests with one fingerprint. */
    fun take(suspect: CrashSuspectNews, from: String) {
        val now = ticker.now()
        suspect.clearedMs?.let { crashes.answered(suspect.fingerprint, now - it.milliseconds) }
        for (told in suspect.losses) {
            val loss = lossOf(told, now)
            val fresh = crashes.lost(suspect.fingerprint, loss, now - suspect.seenMs.milliseconds)
            if (fresh) log(suspect.fingerprint, loss, from)
        }
    }

    private fun newsOf(fingerprint: Long, row: CrashRow, now: Duration = ticker.now()): CrashSuspectNews {
        val losses = row.losses.values.filter { it.confirmed }.take(MOST_LOSSES).map { newsOf(it, now) }
        val cleared = if (row.clearedAt.isInfinite()) null else (now - row.clearedAt).inWholeMilliseconds
        return CrashSuspectNews(fingerprint, losses, (now - row.seenAt).inWholeMilliseconds, cleared)
    }

    private fun newsOf(loss: CrashLoss, now: Duration): CrashLossNews {
        val since = (now - loss.since).inWholeMilliseconds
        return CrashLossNews(loss.id, loss.upstream, since, (now - loss.at).inWholeMilliseconds, loss.confirmed)
    }

    private fun lossOf(news: CrashLossNews, now: Duration): CrashLoss {
        val since = now - news.sinceMs.milliseconds
        return CrashLoss(news.id, news.upstream, since, now - news.agoMs.milliseconds, news.confirmed)
    }

    private fun log(fingerprint: Long, loss: CrashLoss, source: String) {
        val hex = java.lang.Long.toHexString(fingerprint)
        val losses = crashes.losses(fingerprint)
        log.log(GatewayEvent.CRASH_SUSPECT, hex, loss.upstream, loss.confirmed, losses, source)
        if (!crashes.becameRefused(fingerprint)) return
        log.log(GatewayEvent.CRASH_REFUSED, hex, losses)
        if (source ==
            self
        ) {
            onRefused(crashes.shared(ticker.now()).getValue(fingerprint).let { newsOf(fingerprint, it) })
        }
    }

    private companion object {
        /** What follows comes with a later greeting. */
        const val MOST_AT_ONCE = 8

        /** A datagram holds these; any three in a row are enough to refuse a request. */
        const val MOST_LOSSES = 8
    }
}
