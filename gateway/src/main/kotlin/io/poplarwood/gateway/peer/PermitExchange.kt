package io.poplarwood.gateway.peer

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.limit.IssuedPermits
import io.poplarwood.gateway.limit.PermitEvent
import io.poplarwood.gateway.limit.PermitIssuer
import io.poplarwood.gateway.limit.PermitPool
import io.poplarwood.gateway.limit.PermitRequest
import io.poplarwood.gateway.upstream.IncarnationId
import io.poplarwood.gateway.upstream.UpstreamRow
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Requests permits from the entries that issue them, and issues those of the upstreams that this entry was selected
 * for.
 *
 * An entry that is asked for a permit which another entry issues forwards the request once. A request that gets no
 * answer lapses, and its entry sends nothing to the upstream meanwhile.
 *
 * @param send sends a message to the entry of the given name; delivery is not guaranteed
 * @param schedule runs an action after a delay
 * @param count counts what becomes of permits
 * @param onReceived called after permits arrived that a queued request may use
 */
internal class PermitExchange(
    private val self: String,
    private val upstreams: UpstreamTable,
    private val issuers: IssuerSelection,
    private val pool: PermitPool<IncarnationId>,
    private val ticker: Ticker,
    private val send: (PeerMessage, String) -> Unit,
    private val schedule: (Duration, () -> Unit) -> Unit,
    private val count: (PermitEvent) -> Unit = {},
    private val onReceived: () -> Unit = {},
) {
    private val issuer = PermitIssuer<IncarnationId>(issuers::requestLifetime)
    private val scheduled = HashSet<IncarnationId>()

    /** Asks for [number] permits for [row]. Permits that this entry issues itself are in the pool when it returns. */
    fun request(row: UpstreamRow, priority: Int, number: Int) {
        val message = PeerMessage.PermitRequest(self, row.id, row.incarnation.startMs, priority, number)
        val selected = issuers.issuerOf(row.incarnation)
        if (selected == self) serve(message) else send(message, selected)
    }

    /** Handles a message of another entry. */
    fun receive(message: PeerMessage.PermitMessage) {
        when (message) {
            is PeerMessage.PermitRequest -> receiveRequest(message)
            is PeerMessage.PermitGrant ->
                pool.add(IncarnationId(message.upstream, message.born), message.priority, message.count, ticker.now())
        }
    }

    private fun receiveRequest(message: PeerMessage.PermitRequest) {
        val selected = issuers.issuerOf(IncarnationId(message.upstream, message.born))
        when {
            selected == self -> serve(message)
            !message.forwarded -> send(message.copy(forwarded = true), selected)
        }
    }

    private fun serve(message: PeerMessage.PermitRequest) {
        val now = ticker.now()
        val key = IncarnationId(message.upstream, message.born)
        issuer.add(key, PermitRequest(message.from, message.priority, message.count, now), now)
        issueDue(key)
    }

    /** Issues the permits of [key] that are due; returns whether this entry received some. */
    private fun issueDue(key: IncarnationId): Boolean {
        val row = upstreams[key.id]?.takeIf { it.incarnation == key }
        if (row == null || issuers.issuerOf(key) != self) {
            issuer.release(key)
            return false
        }
        val now = ticker.now()
        val rate = row.limit.rate
        // The asker may have heard of the limit before this entry.
        if (rate == null) {
            if (issuer.hasRequests(key)) scheduleNext(key, UNKNOWN_LIMIT_RETRY)
            return false
        }
        val issued = issuer.issue(key, rate, row.recentSends.total(now), now)
        issued.forEach { deliver(key, it, now) }
        issuer.nextIssueIn(key, rate, now)?.let { scheduleNext(key, it) }
        return issued.any { it.asker == self }
    }

    private fun deliver(key: IncarnationId, permits: IssuedPermits, now: Duration) {
        repeat(permits.count) { count(PermitEvent.ISSUED) }
        if (permits.asker == self) {
            pool.add(key, permits.priority, permits.count, now)
        } else {
            val grant = PeerMessage.PermitGrant(self, key.id, key.startMs, permits.priority, permits.count)
            send(grant, permits.asker)
        }
    }

    private fun scheduleNext(key: IncarnationId, delay: Duration) {
        if (!scheduled.add(key)) return
        schedule(delay.coerceAtMost(MAX_DELAY)) {
            scheduled -= key
            if (issueDue(key)) onReceived()
        }
    }

    private companion object {
        val UNKNOWN_LIMIT_RETRY = 20.milliseconds

        /** Requests lapse, so a longer delay would only keep them in memory. */
        val MAX_DELAY = 250.milliseconds
    }
}
