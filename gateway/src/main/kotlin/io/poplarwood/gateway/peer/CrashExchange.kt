package io.poplarwood.gateway.peer

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.decision.crash.CrashLoss
import io.poplarwood.gateway.decision.crash.CrashSuspects
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tells other entries of requests under which upstreams ended, and takes in what they tell.
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
    /** Tells all entries of [loss] under requests with [fingerprint]. */
    fun tell(fingerprint: Long, loss: CrashLoss) {
        log(fingerprint, loss, self)
        val news = CrashSuspectNews(fingerprint, listOf(newsOf(loss)))
        send(PeerMessage.CrashNews(self, listOf(news)), table.live.map { it.record.peers })
    }

    /** Takes in what another entry told. */
    fun receive(news: PeerMessage.CrashNews) {
        for (suspect in news.suspects) {
            for (told in suspect.losses) {
                val loss = lossOf(told)
                if (crashes.lost(suspect.fingerprint, loss, ticker.now())) log(suspect.fingerprint, loss, news.from)
            }
        }
    }

    private fun newsOf(loss: CrashLoss): CrashLossNews {
        val now = ticker.now()
        val since = (now - loss.since).inWholeMilliseconds
        return CrashLossNews(loss.id, loss.upstream, since, (now - loss.at).inWholeMilliseconds, loss.confirmed)
    }

    private fun lossOf(news: CrashLossNews): CrashLoss {
        val now = ticker.now()
        val since = now - news.sinceMs.milliseconds
        return CrashLoss(news.id, news.upstream, since, now - news.agoMs.milliseconds, news.confirmed)
    }

    private fun log(fingerprint: Long, loss: CrashLoss, source: String) {
        val hex = java.lang.Long.toHexString(fingerprint)
        log.log(GatewayEvent.CRASH_SUSPECT, hex, loss.upstream, loss.confirmed, crashes.losses(fingerprint), source)
    }
}
