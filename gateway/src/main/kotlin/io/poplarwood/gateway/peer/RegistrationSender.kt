package io.poplarwood.gateway.peer

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.configuration.BackgroundWork
import io.poplarwood.gateway.configuration.EncodedOnce
import io.poplarwood.gateway.configuration.TransferAdmission
import io.poplarwood.gateway.configuration.compute
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.store.StateReplica
import io.poplarwood.gateway.store.StoreVersion
import io.poplarwood.gateway.store.StoredRow
import kotlin.time.Duration

/**
 * Sends registrations of upstreams to the peers that [admission] admits: what changed, or pages of bounded size.
 */
internal class RegistrationSender(
    private val book: StateReplica,
    private val admission: TransferAdmission<StoreVersion>,
    private val background: BackgroundWork,
    private val ticker: Ticker,
    private val log: EventLog,
) {
    /** By the keys and versions of the rows. */
    private val encoded = EncodedOnce<List<Pair<String, StoreVersion>>, ByteArray>(MAX_ENCODED)
    private var replies = 0
    private var replyBytes = 0L
    private var encodeTime = Duration.ZERO
    private var busyReplies = 0

    /** The reply to [query]. */
    suspend fun reply(query: RegistrationQuery): RegistrationReply {
        val upstreamVersion = book.upstreamVersion
        if (upstreamVersion <= query.newest && book.unchangedSince <= query.covered) return RegistrationReply.Nothing
        if (!admission.admit(query.receiver)) {
            busyReplies++
            return RegistrationReply.Busy(admission.referrals { it > query.newest })
        }
        val coveredVersion = book.coveredVersion
        val changes =
            if (query.afterKey == null) book.upstreamChanges(query.covered)?.takeIf { it.size <= PAGE_ROWS } else null
        val page = changes ?: book.upstreamPage(query.afterKey.orEmpty(), PAGE_ROWS + 1)
        val rows = page.take(PAGE_ROWS)
        val bytes = encode(rows)
        val lastKey = if (page.size > rows.size) rows.last().key else null
        if (lastKey == null) admission.finished(query.receiver, upstreamVersion, bytes.size)
        replies++
        replyBytes += bytes.size
        val after = query.covered.takeIf { changes != null }
        return RegistrationReply.Page(after, lastKey, upstreamVersion, coveredVersion, bytes)
    }

    private suspend fun encode(rows: List<StoredRow>): ByteArray = encoded.get(rows.map { it.key to it.version }) {
        val startedAt = ticker.now()
        background.compute { EncodedRegistrations.encode(rows) }.also { encodeTime += ticker.now() - startedAt }
    }

    /** Logs what was sent to peers since the last call, if anything was. */
    fun logReplies() {
        if (replies + busyReplies == 0) return
        val encodeMs = encodeTime.inWholeMilliseconds
        log.log(GatewayEvent.PEER_REPLY, book.upstreamVersion, replies, replyBytes, encodeMs, busyReplies)
        replies = 0
        replyBytes = 0
        encodeTime = Duration.ZERO
        busyReplies = 0
    }

    private companion object {
        /** Rows of one page; with 330 bytes each, a page takes a link of 7 Mbit/s less than 50 ms. */
        const val PAGE_ROWS = 500

        /** The pages of 11,000 registrations and some changes. */
        const val MAX_ENCODED = 32
    }
}
