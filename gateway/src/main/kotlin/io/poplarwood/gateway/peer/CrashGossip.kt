package io.poplarwood.gateway.peer

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.decision.crash.CrashLoss
import io.poplarwood.gateway.decision.crash.CrashRow
import io.poplarwood.gateway.decision.crash.CrashSuspects
import io.poplarwood.gateway.decision.crash.CrashVerdict
import io.poplarwood.gateway.decision.crash.RequestLoss
import io.poplarwood.gateway.decision.crash.UpstreamFate
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.upstream.IncarnationId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Exchanges crash records with other entries: the requests that upstreams ended under.
 *
 * A loss is announced at once. That message may be lost, and entries may start later, so each heartbeat carries
 * [digest]: an entry that receives a digest other than its own sends the records that it has.
 *
 * @param send sends a message to each of the given `ip:port`; delivery is not guaranteed
 */
internal class CrashGossip(
    private val self: String,
    private val crashes: CrashSuspects,
    private val table: PeerTable,
    private val ticker: Ticker,
    private val log: EventLog,
    private val send: (PeerMessage, List<String>) -> Unit,
) {
    /** Number of times in a row that the digest of an entry differed, by its address; without those that match. */
    private val roundsByPeer = HashMap<String, Int>()

    /** Hash of the crash records that every entry should know; equal at entries with the same records. */
    val digest: Long get() = crashes.digest(ticker.now())

    /**
     * Called when a loss that this entry observed itself makes requests with a fingerprint known to end upstreams: with
     * the second end, and when they are refused from now on.
     */
    var onRecorded: (CrashSuspectUpdate) -> Unit = {}

    /**
     * Announces [loss] under requests with [fingerprint] to all live entries, or to those that take callers while it is
     * not known whether the upstream has ended.
     */
    fun announceLoss(fingerprint: Long, loss: CrashLoss) {
        logLoss(fingerprint, loss, self)
        val update = CrashSuspectUpdate(fingerprint, listOf(updateOf(loss, ticker.now())))
        send(PeerMessage.CrashUpdate(self, listOf(update)), addresses(if (loss.ended) table.live else table.active))
    }

    /**
     * Announces [losses], of which it is not known whether the upstream has ended, to all entries that take callers.
     */
    fun announceOpenLosses(losses: List<RequestLoss>) {
        val now = ticker.now()
        for (lost in losses) if (lost.loss.counts(now)) logLoss(lost.fingerprint, lost.loss, self)
        sendToActive(losses.map { CrashSuspectUpdate(it.fingerprint, listOf(updateOf(it.loss, now))) })
    }

    /** Announces that the upstreams of [losses], which were announced before, have survived the request. */
    fun announceSurvived(losses: List<RequestLoss>) =
        sendToActive(losses.map { CrashSuspectUpdate(it.fingerprint, emptyList(), survived = listOf(it.loss.id)) })

    private fun sendToActive(updates: List<CrashSuspectUpdate>) {
        for (part in updates.chunked(MAX_LOSSES_PER_UPDATE)) {
            send(PeerMessage.CrashUpdate(self, part), addresses(table.active))
        }
    }

    private fun addresses(peers: List<PeerStatus>) = peers.map { it.record.peers }

    /**
     * Whether this entry is the one that sends requests with [fingerprint] while it is open whether they end upstreams.
     */
    fun isKeeper(fingerprint: Long): Boolean =
        RendezvousHash.select(table.active.map { it.name } + self, fingerprint) == self

    /** Sends records to the entry at [peer] unless its [digest] matches the own one. */
    fun sendIfDifferent(digest: Long, peer: String) {
        if (digest == this.digest) {
            roundsByPeer.remove(peer)
            return
        }
        val now = ticker.now()
        val round = roundsByPeer[peer] ?: 0
        roundsByPeer[peer] = round + 1
        for ((fingerprint, row) in rowsOfRound(round, now)) {
            send(PeerMessage.CrashUpdate(self, listOf(updateOf(fingerprint, row, now))), listOf(peer))
        }
    }

    /**
     * The records to send in [round], the number of times in a row that the digests differed: the most recent ones,
     * and others in turn, since the most recent ones may be those that both entries have.
     */
    private fun rowsOfRound(round: Int, now: Duration): List<Map.Entry<Long, CrashRow>> {
        val byTime = crashes.rowsToSync(now).entries.sortedByDescending { it.value.seenAt }
        if (byTime.size <= MAX_ROWS_PER_HEARTBEAT) return byTime
        // Ordered by fingerprint: their order by time changes while such requests arrive.
        val others = byTime.drop(RECENT_ROWS_PER_HEARTBEAT).sortedBy { it.key }
        val count = MAX_ROWS_PER_HEARTBEAT - RECENT_ROWS_PER_HEARTBEAT
        return byTime.take(RECENT_ROWS_PER_HEARTBEAT) +
            List(count) { others[(round.toLong() * count + it).mod(others.size)] }
    }

    fun receive(update: PeerMessage.CrashUpdate) = update.suspects.forEach { merge(it, update.from) }

    /** Merges the losses and the clearing that [from] reported for one fingerprint. */
    fun merge(suspect: CrashSuspectUpdate, from: String) {
        val now = ticker.now()
        suspect.clearedMs?.let { crashes.recordAnswer(suspect.fingerprint, now - it.milliseconds) }
        suspect.survived.forEach { crashes.survived(suspect.fingerprint, it) }
        for (lossUpdate in suspect.losses) {
            val loss = toLoss(lossUpdate, now)
            val isNew = crashes.recordLoss(suspect.fingerprint, loss, now - suspect.seenMs.milliseconds)
            if (isNew) logLoss(suspect.fingerprint, loss, from)
        }
    }

    private fun updateOf(fingerprint: Long, row: CrashRow, now: Duration = ticker.now()): CrashSuspectUpdate {
        val losses = row.losses.values.filter { it.counts(now) }.sortedByDescending { it.ended }
            .take(MAX_LOSSES_PER_UPDATE).map { updateOf(it, now) }
        val cleared = if (row.clearedAt.isInfinite()) null else (now - row.clearedAt).inWholeMilliseconds
        return CrashSuspectUpdate(fingerprint, losses, (now - row.seenAt).inWholeMilliseconds, cleared)
    }

    private fun updateOf(loss: CrashLoss, now: Duration) = CrashLossUpdate(
        loss.id,
        loss.upstream.id,
        (now - loss.sentAt).inWholeMilliseconds,
        (now - loss.lostAt).inWholeMilliseconds,
        loss.ended,
        loss.upstream.startMs,
        loss.endSeen,
        (loss.runsUntil - now).inWholeMilliseconds,
        loss.provenAt.takeIf { it.isFinite() }?.let { (now - it).inWholeMilliseconds },
    )

    private fun toLoss(update: CrashLossUpdate, now: Duration) = CrashLoss(
        update.id,
        IncarnationId(update.upstream, update.startMs),
        now - update.sinceMs.milliseconds,
        now - update.agoMs.milliseconds,
        if (update.confirmed) UpstreamFate.ENDED else UpstreamFate.UNKNOWN,
        update.endSeen,
        now + update.runsForMs.milliseconds,
        update.provenMs?.let { now - it.milliseconds } ?: -Duration.INFINITE,
    )

    private fun logLoss(fingerprint: Long, loss: CrashLoss, source: String) {
        val hex = java.lang.Long.toHexString(fingerprint)
        val losses = crashes.lossCount(fingerprint, ticker.now())
        if (loss.ended || losses > 1) {
            log.log(GatewayEvent.CRASH_SUSPECT, hex, loss.upstream.id, loss.ended, losses, source)
        }
        val becameRefused = crashes.becameRefused(fingerprint)
        if (becameRefused) log.log(GatewayEvent.CRASH_REFUSED, hex, losses)
        if (source != self || !loss.ended || !crashes.isRecorded(fingerprint)) return
        val isSecondEnd = crashes.verdict(fingerprint, ticker.now()) != CrashVerdict.REFUSED
        if (becameRefused || isSecondEnd) recordOf(fingerprint)?.let(onRecorded)
    }

    /** What entries that start have to know. */
    fun records(): List<CrashSuspectUpdate> =
        crashes.rowsToSync(ticker.now()).filterValues { it.recorded }.map { updateOf(it.key, it.value) }

    /** What entries that start have to know of requests with [fingerprint]; null when that is nothing. */
    private fun recordOf(fingerprint: Long): CrashSuspectUpdate? =
        crashes.rowsToSync(ticker.now())[fingerprint]?.let { updateOf(fingerprint, it) }

    private companion object {
        /** Further records are sent in response to a later heartbeat. */
        const val MAX_ROWS_PER_HEARTBEAT = 8
        const val RECENT_ROWS_PER_HEARTBEAT = 2

        /** As many as fit into a datagram; any three in a row are enough to refuse a request. */
        const val MAX_LOSSES_PER_UPDATE = 8
    }
}
