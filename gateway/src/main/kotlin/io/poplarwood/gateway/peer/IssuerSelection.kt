package io.poplarwood.gateway.peer

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.upstream.IncarnationId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Selects the entry that issues the permits of an upstream, by rendezvous hashing among the entries that take callers.
 * Entries that know the same active entries select the same issuer.
 */
internal class IssuerSelection(
    private val self: String,
    private val peers: PeerTable,
    private val roles: ActiveEntries,
    private val ticker: Ticker,
) {
    private var candidates = listOf(self)
    private var refreshedAt = -Duration.INFINITE

    /** Number of entries among which the issuers are selected. */
    val candidateCount: Int get() = currentCandidates().size

    /**
     * Time after which a request for a permit lapses unless it is repeated. It grows with the number of entries that
     * may ask one issuer, which bounds the messages that the issuer receives.
     */
    fun requestLifetime(): Duration = maxOf(MIN_REQUEST_LIFETIME, REQUEST_SPACING * candidateCount)

    /** Name of the entry that issues the permits of [upstream]. */
    fun issuerOf(upstream: IncarnationId): String =
        RendezvousHash.select(currentCandidates(), upstream.id.hashCode().toLong())

    private fun currentCandidates(): List<String> {
        val now = ticker.now()
        if (now - refreshedAt < REFRESH_INTERVAL) return candidates
        refreshedAt = now
        val others = peers.live.filter { it.serving && it.hello?.active ?: false }.map { it.name }
        candidates = (if (roles.active) others + self else others).ifEmpty { listOf(self) }
        return candidates
    }

    private companion object {
        val REFRESH_INTERVAL = 50.milliseconds
        val MIN_REQUEST_LIFETIME = 500.milliseconds

        /** Mean time between two requests for permits of one upstream when all entries ask for them. */
        val REQUEST_SPACING = 10.milliseconds
    }
}
