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
internal class CrashGossip(
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
    var onRefused: (CrashSuspectUpdate) -> Unit = {}

    /** Tells all entries of [loss] under requests with [fingerprint]. */
    fun tell(fingerprint: Long, loss: CrashLoss) {
        logLoss(fingerprint, loss, self)
        val update = CrashSuspectUpdate(fingerprint, listOf(updateOf(loss, ticker.now())))
        send(PeerMessage.CrashUpdate(self, listOf(update)), table.live.map { it.record.peers })
    }

    /** Sends the entry at [peer] all that it should know, if its [digest] says that it knows something else. */
    fun sendIfDifferent(digest: Long, peer: String) {
        if (digest == this.digest) return
        val now = ticker.now()
        val rows = crashes.shared(now).entries.sortedByDescending { it.value.seenAt }.take(MAX_ROWS_PER_HEARTBEAT)
        for ((fingerprint, row) in rows) {
            send(PeerMessage.CrashUpdate(self, listOf(updateOf(fingerprint, row, now))), listOf(peer))
        }
    }

    /** Takes in what another entry told. */
    fun receive(update: PeerMessage.CrashUpdate) = update.suspects.forEach { merge(it, update.from) }

    /** Takes in what [from] told of requests with one fingerprint. */
    fun merge(suspect: CrashSuspectUpdate, from: String) {
        val now = ticker.now()
        suspect.clearedMs?.let { crashes.answered(suspect.fingerprint, now - it.milliseconds) }
        for (lossUpdate in suspect.losses) {
            val loss = toLoss(lossUpdate, now)
            val isNew = crashes.lost(suspect.fingerprint, loss, now - suspect.seenMs.milliseconds)
            if (isNew) logLoss(suspect.fingerprint, loss, from)
        }
    }

    private fun updateOf(fingerprint: Long, row: CrashRow, now: Duration = ticker.now()): CrashSuspectUpdate {
        val losses = row.losses.values.filter { it.confirmed }.take(MAX_LOSSES_PER_UPDATE).map { updateOf(it, now) }
        val cleared = if (row.clearedAt.isInfinite()) null else (now - row.clearedAt).inWholeMilliseconds
        return CrashSuspectUpdate(fingerprint, losses, (now - row.seenAt).inWholeMilliseconds, cleared)
    }

    private fun updateOf(loss: CrashLoss, now: Duration): CrashLossUpdate {
        val since = (now - loss.since).inWholeMilliseconds
        return CrashLossUpdate(loss.id, loss.upstream, since, (now - loss.at).inWholeMilliseconds, loss.confirmed)
    }

    private fun toLoss(update: CrashLossUpdate, now: Duration): CrashLoss {
        val since = now - update.sinceMs.milliseconds
        return CrashLoss(update.id, update.upstream, since, now - update.agoMs.milliseconds, update.confirmed)
    }

    private fun logLoss(fingerprint: Long, loss: CrashLoss, source: String) {
        val hex = java.lang.Long.toHexString(fingerprint)
        val losses = crashes.losses(fingerprint)
        log.log(GatewayEvent.CRASH_SUSPECT, hex, loss.upstream, loss.confirmed, losses, source)
        if (!crashes.becameRefused(fingerprint)) return
        log.log(GatewayEvent.CRASH_REFUSED, hex, losses)
        if (source == self) {
            onRefused(crashes.shared(ticker.now()).getValue(fingerprint).let { updateOf(fingerprint, it) })
        }
    }

    private companion object {
        /** What follows comes with a later greeting. */
        const val MAX_ROWS_PER_HEARTBEAT = 8

        /** A datagram holds these; any three in a row are enough to refuse a request. */
        const val MAX_LOSSES_PER_UPDATE = 8
    }
}
