package io.poplarwood.gateway.decision.crash

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The open losses that this entry itself has seen, and what it has told other entries of them. */
internal class OwnLosses(private val crashes: CrashSuspects) {
    private class Own(val fingerprint: Long, var announced: Boolean, var announcedProof: Duration)

    private val byId = LinkedHashMap<Long, Own>()

    /** Adds [loss] of a request with [fingerprint]. */
    fun add(fingerprint: Long, loss: CrashLoss, announced: Boolean = false) {
        byId[loss.id] = Own(fingerprint, announced, loss.provenAt)
    }

    /** The losses that count at [now], are [due] and have not been announced; from then on they count as announced. */
    fun takeUnannounced(now: Duration, due: (RequestLoss) -> Boolean): List<RequestLoss> = select { own, lost ->
        val taken = !own.announced && lost.loss.counts(now) && due(lost)
        if (taken) own.announced = true
        taken
    }

    /** The announced losses whose upstream has been shown to be running since other entries heard of it. */
    fun takeProven(): List<RequestLoss> = select { own, lost ->
        // While nothing is proven, both times are infinite and have no difference.
        val isNew = lost.loss.provenAt > own.announcedProof
        val proven = own.announced && isNew && lost.loss.provenAt - own.announcedProof >= PROOF_INTERVAL
        if (proven) own.announcedProof = lost.loss.provenAt
        proven
    }

    /** Forgets the losses that are no longer open; returns the announced ones whose upstream has survived. */
    fun removeClosed(): List<RequestLoss> {
        val survived = ArrayList<RequestLoss>()
        byId.entries.removeIf { (id, own) ->
            val loss = crashes.loss(own.fingerprint, id)
            if (own.announced && loss?.fate == UpstreamFate.SURVIVED) survived += RequestLoss(own.fingerprint, loss)
            loss == null || !loss.open
        }
        return survived
    }

    private fun select(matches: (Own, RequestLoss) -> Boolean): List<RequestLoss> = byId.mapNotNull { (id, own) ->
        val loss = crashes.loss(own.fingerprint, id)?.takeIf { it.open }
        loss?.let { RequestLoss(own.fingerprint, it) }?.takeIf { matches(own, it) }
    }

    private companion object {
        /** Other entries hear again of an upstream that runs after this time, before they take it for silent. */
        val PROOF_INTERVAL = 1.seconds
    }
}
