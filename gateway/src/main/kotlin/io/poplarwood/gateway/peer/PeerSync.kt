package io.poplarwood.gateway.peer

import io.poplarwood.api.random.RandomSource
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.configuration.TransferSources
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.store.RowSnapshot
import io.poplarwood.gateway.store.StateReplica
import io.poplarwood.gateway.store.StoreVersion
import io.poplarwood.gateway.store.StoredRow
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Fetches newer registrations of upstreams from peers. An entry needs these while the store is unreachable for it, or
 * when it starts during an outage of the store. A page that does not arrive in time is requested from another peer; the
 * pages that have arrived are kept. An entry without callers fetches at most once in [STANDBY_INTERVAL], since many
 * upstreams that start together would otherwise cost each standby entry several fetches a second.
 *
 * @param self address of this entry for other entries
 * @param ask sends a query to the peer at an address; null when it does not reply in time
 * @param holders peers with newer registrations
 * @param takesCallers whether this entry takes callers or still receives requests
 */
internal class PeerSync(
    private val self: String,
    private val ask: suspend (address: String, query: RegistrationQuery) -> RegistrationReply?,
    private val holders: NewerPeers<StoreVersion>,
    private val takesCallers: () -> Boolean,
    private val book: StateReplica,
    private val random: RandomSource,
    private val scope: CoroutineScope,
    private val ticker: Ticker,
    private val log: EventLog,
) {
    private class Page(val reply: RegistrationReply.Page, val rows: List<StoredRow>)

    private val sources = TransferSources(self, holders::of, ticker)
    private var fetching = false

    /** When registrations of a peer were applied last. */
    private var appliedAt = -Duration.INFINITE

    /** Starts to fetch if a peer has newer registrations, unless this entry fetches already or has to wait. */
    fun syncIfBehind() {
        if (fetching || mustWait() || isUpToDate()) return
        fetching = true
        scope.launch {
            try {
                fetch()
            } finally {
                fetching = false
            }
        }
    }

    private fun isUpToDate() = holders.of { it > book.upstreamVersion }.isEmpty()

    private fun mustWait() = ticker.now() - appliedAt < STANDBY_INTERVAL && !takesCallers()

    /** Fetches what changed, or all pages when the peer no longer knows what changed since then. */
    private suspend fun fetch() {
        sources.clearReferrals()
        val pages = ArrayList<Page>()
        var source: String? = null
        var arrivedAt = ticker.now()
        // Ends as well when the rows have arrived on another way meanwhile.
        while (!isUpToDate()) {
            val peer = source ?: sources.next { it > book.upstreamVersion }
            if (peer == null) {
                if (pages.isEmpty() || ticker.now() - arrivedAt > RESUME_TIMEOUT) return
                delay(BUSY_PAUSE)
                continue
            }
            val page = fetchPage(peer, pages.lastOrNull()?.reply?.lastKey)
            source = peer.takeIf { page != null }
            if (page == null) continue
            arrivedAt = ticker.now()
            pages += page
            if (page.reply.lastKey == null) return apply(pages, peer)
        }
    }

    private fun apply(pages: List<Page>, source: String) {
        val first = pages.first()
        val rows = pages.flatMap { it.rows }
        // What changed while the pages were read is fetched as a change after the lowest version.
        val covered = RowSnapshot(rows, pages.minOf { it.reply.coveredVersion })
        val newest = pages.minOf { it.reply.upstreamVersion }
        val after = first.reply.after
        appliedAt = ticker.now()
        if (after != null) {
            book.applyUpstreamChanges(covered, after, source, newest)
        } else {
            book.applyAllUpstreams(covered, source, newest)
        }
    }

    /** Requests the page behind [afterKey], or the first one, from [peer]; null when it did not send it. */
    private suspend fun fetchPage(peer: String, afterKey: String?): Page? {
        val query = RegistrationQuery(self, book.upstreamVersion, book.coveredVersion, afterKey)
        val startedAt = ticker.now()
        when (val reply = ask(peer, query)) {
            is RegistrationReply.Page -> {
                val rows = EncodedRegistrations.decode(reply.rows)
                logFetch(peer, query, reply.rows.size, startedAt, if (rows == null) "unreadable" else "received")
                if (rows != null) return Page(reply, rows)
                sources.avoid(peer, FAILURE_PAUSE)
            }
            is RegistrationReply.Busy -> {
                val pause = BUSY_PAUSE * (MIN_JITTER + random.nextDouble())
                // Another peer is asked next, since a busy one with a narrow link stays busy for long.
                sources.avoid(peer, pause * 2)
                if (!sources.refer(reply.holders)) delay(pause)
            }
            RegistrationReply.Nothing -> sources.avoid(peer, NOTHING_PAUSE)
            null -> {
                logFetch(peer, query, 0, startedAt, "no-reply")
                sources.avoid(peer, FAILURE_PAUSE)
            }
        }
        return null
    }

    private fun logFetch(peer: String, query: RegistrationQuery, bytes: Int, startedAt: Duration, result: String) {
        val tookMs = (ticker.now() - startedAt).inWholeMilliseconds
        log.log(GatewayEvent.PEER_FETCH, peer, query.newest, bytes, tookMs, result)
    }

    companion object {
        /** Leaves more than a second of the two within which every entry has to know of a leaving upstream. */
        val STANDBY_INTERVAL = 750.milliseconds

        /** A peer that did not reply is asked again after this time at the earliest. */
        private val FAILURE_PAUSE = 300.milliseconds

        /** Time for which the pages that have arrived are kept when no peer can send the others. */
        private val RESUME_TIMEOUT = 3_000.milliseconds

        /** Time that a peer needs to apply what it has just received. */
        private val NOTHING_PAUSE = 100.milliseconds

        /** Pause after the reply of a busy peer; a narrow link needs about as long for a page. */
        private val BUSY_PAUSE = 40.milliseconds

        /** The jitter factor lies between this and 1.5. */
        private const val MIN_JITTER = 0.5
    }
}
