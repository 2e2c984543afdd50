package io.poplarwood.gateway.decision.crash

import kotlin.time.Duration

/** Losses under requests with one fingerprint. */
internal class CrashRow {
    val losses = LinkedHashMap<Long, CrashLoss>()

    /** When such a request last lost an upstream or came again. */
    var touchedAt: Duration = -Duration.INFINITE

    /**
     * Losses in a row among those that [counts] picks, each at an attempt that followed the loss before. Upstreams that
     * end at one moment while they run equal requests count as one: what ended them may be something else.
     */
    inline fun inARow(counts: (CrashLoss) -> Boolean): Int {
        var last = -Duration.INFINITE
        var count = 0
        for (loss in losses.values.filter(counts).sortedBy { it.at }) {
            if (loss.since < last) continue
            count++
            last = loss.at
        }
        return count
    }
}
