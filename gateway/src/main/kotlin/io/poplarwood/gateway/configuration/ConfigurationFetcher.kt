package io.poplarwood.gateway.configuration

import io.poplarwood.api.random.RandomSource
import io.poplarwood.api.time.Ticker
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Fetches the newest desired state from peers, piece by piece. A piece that does not arrive in time is requested from
 * another peer; the pieces that have arrived are kept.
 *
 * @param ask sends a query to the peer at an address; null when it does not reply in time
 * @param sources peers with a newer desired state
 */
internal class ConfigurationFetcher(
    private val self: String,
    private val ask: suspend (address: String, query: TransferQuery) -> TransferReply?,
    private val sources: TransferSources<ConfigurationVersion>,
    private val history: ConfigurationHistory,
    private val background: BackgroundWork,
    private val random: RandomSource,
    private val ticker: Ticker,
    private val log: TransferLog,
) {
    /** Version whose whole could not be used, and how many times that was so. */
    private var unusable = ConfigurationVersion.NONE
    private var unusableWholes = 0
    private var unusableUntil = -Duration.INFINITE

    /**
     * Fetches the newest desired state that a peer offers; null when none has a newer one, or when a newer one than the
     * own arrived on another way meanwhile.
     */
    suspend fun fetch(): Fetched? {
        val knownVersion = newestVersion()
        // All of them, since a peer may have skipped the newest one.
        var bases = history.versions
        sources.clearReferrals()
        while (newestVersion() == knownVersion) {
            val useless = maxOf(knownVersion, unusableVersion())
            val peer = sources.next { it > useless } ?: return null
            when (val reply = query(peer, TransferQuery(self, bases, null, 0))) {
                is TransferReply.Piece -> {
                    val received = collect(peer, reply)
                    received?.let { decode(reply, it) }?.let { return it }
                    // A change that does not fit is not requested again, since other peers may send the same.
                    if (received != null) bases = emptyList()
                    delay(if (received == null) NOTHING_PAUSE else BUSY_PAUSE)
                }
                is TransferReply.Busy -> {
                    if (!sources.refer(reply.holders)) delay(BUSY_PAUSE * (MIN_JITTER + random.nextDouble()))
                }
                TransferReply.Nothing -> sources.avoid(peer, NOTHING_PAUSE)
                null -> Unit
            }
        }
        return null
    }

    /** Fetches the pieces after the [first] one, which [peer] has sent; null when no peer can send the others. */
    private suspend fun collect(peer: String, first: TransferReply.Piece): Received? {
        val startedAt = ticker.now()
        val base = if (first.from == null) null else history[first.from] ?: return null
        val pieces = ArrayList<ByteArray>(first.count)
        pieces += first.bytes
        var source = peer
        var arrivedAt = startedAt
        while (pieces.size < first.count) {
            val query = TransferQuery(self, listOfNotNull(base?.version), first.to, pieces.size)
            val reply = query(source, query)
            if (reply is TransferReply.Piece && reply.continues(first)) {
                pieces += reply.bytes
                arrivedAt = ticker.now()
                continue
            }
            // A peer with newer rows that has nothing to send has skipped this version.
            val skipped = reply == TransferReply.Nothing
            sources.avoid(source, if (skipped) NOTHING_PAUSE else FAILURE_PAUSE)
            source = awaitSource(first.to, arrivedAt, skipped) ?: return null
        }
        return Received(base, pieces, source, startedAt)
    }

    /**
     * The peer that may send a further piece of the version [to]. Null when there is none for long after the last piece
     * [arrivedAt], and when the version has arrived on another way. Where the last peer has [skipped] it, null is
     * returned at once, since a newer version arrives sooner.
     */
    private suspend fun awaitSource(to: ConfigurationVersion, arrivedAt: Duration, skipped: Boolean): String? {
        while (newestVersion() < to) {
            sources.next { it >= to }?.let { return it }
            if (skipped || ticker.now() - arrivedAt > RESUME_TIMEOUT) return null
            delay(BUSY_PAUSE)
        }
        return null
    }

    /**
     * Records that the whole of [version] cannot be used. Other peers send the same, unless their code is another, so
     * this entry asks for it only a few times.
     */
    private fun recordUnusable(version: ConfigurationVersion) {
        if (version != unusable) unusableWholes = 0
        unusable = version
        unusableWholes++
        if (unusableWholes % MAX_UNUSABLE_WHOLES == 0) unusableUntil = ticker.now() + UNUSABLE_PAUSE
    }

    /** Version up to which this entry requests nothing now, if there is one. */
    private fun unusableVersion() = if (ticker.now() < unusableUntil) unusable else ConfigurationVersion.NONE

    private fun newestVersion() = history.newest?.version ?: ConfigurationVersion.NONE

    private suspend fun decode(first: TransferReply.Piece, received: Received): Fetched? {
        val peer = received.peer
        val change = background.compute { ChangePieces.join(received.pieces, first.from, first.to, first.digest) }
        val result = change?.let { background.compute { it.applyTo(received.base?.state) } }
        val took = ticker.now() - received.startedAt
        if (result == null) {
            log.failed(peer, "unreadable", took)
            sources.avoid(peer, FAILURE_PAUSE)
            if (first.from == null) recordUnusable(first.to)
            return null
        }
        log.received(peer, change, received.pieces.sumOf { it.size }, took)
        return Fetched(result, peer)
    }

    /** Whether this is a piece of the same change: a sender without the base sends pieces of a whole desired state. */
    private fun TransferReply.Piece.continues(first: TransferReply.Piece) =
        from == first.from && to == first.to && count == first.count && digest == first.digest

    private suspend fun query(peer: String, query: TransferQuery): TransferReply? {
        val startedAt = ticker.now()
        val reply = ask(peer, query)
        if (reply == null) {
            log.failed(peer, "no reply", ticker.now() - startedAt)
            sources.avoid(peer, FAILURE_PAUSE)
        }
        return reply
    }

    /** All [pieces] of a change from [base]; [peer] sent the last one. */
    private class Received(
        val base: Configuration?,
        val pieces: List<ByteArray>,
        val peer: String,
        val startedAt: Duration,
    )

    private companion object {
        /** A peer that did not reply is asked again after this time at the earliest. */
        val FAILURE_PAUSE = 300.milliseconds

        /** Time for which the pieces that have arrived are kept when no peer can send the others. */
        val RESUME_TIMEOUT = 3_000.milliseconds

        /** Time that a peer needs to apply a change that it has just received. */
        val NOTHING_PAUSE = 100.milliseconds

        /** Pause before a busy peer is asked again; the transfer of a few pieces takes about as long. */
        val BUSY_PAUSE = 40.milliseconds

        /** Wholes that cannot be used after which their version is not requested for [UNUSABLE_PAUSE]. */
        const val MAX_UNUSABLE_WHOLES = 2
        val UNUSABLE_PAUSE = 10.seconds

        /** The jitter factor lies between this and 1.5. */
        const val MIN_JITTER = 0.5
    }
}
