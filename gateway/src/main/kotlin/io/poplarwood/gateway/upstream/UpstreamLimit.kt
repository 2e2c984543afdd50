package io.poplarwood.gateway.upstream

/**
 * The limit that one incarnation of an upstream currently names, from the answers that any entry received.
 *
 * Answers may overtake each other. A lower limit applies at once unless it is known to be older than the current one. A
 * higher limit, or the end of the limit, applies only if its request was sent after the answer with the current limit
 * was received, since only then it is certainly newer.
 */
internal class UpstreamLimit {
    /** The observation that determines the limit; null when no answer has named a limit. */
    var current: LimitObservation? = null
        private set

    /** Requests per second that the upstream accepts from all entries together; null when it names no limit. */
    val perSecond: Double? get() = current?.perSecond

    /**
     * Requests per second that entries may send, null without a limit. A limit of zero leaves so many that its end is
     * noticed, since only an answer tells it.
     */
    val rate: Double? get() = perSecond?.coerceIn(MIN_RATE, MAX_RATE)

    /** Applies [next]; returns whether the limit changed. */
    fun apply(next: LimitObservation): Boolean {
        val known = current
        if (known == null && next.perSecond == null) return false
        if (known != null && known.perSecond == next.perSecond) {
            current = LimitObservation(
                next.perSecond,
                maxOf(known.sentAt, next.sentAt),
                maxOf(known.receivedAt, next.receivedAt),
            )
            return false
        }
        if (known != null && !supersedes(next, known)) return false
        current = next
        return true
    }

    private fun supersedes(next: LimitObservation, known: LimitObservation): Boolean =
        if (isLower(next.perSecond, known.perSecond)) {
            next.receivedAt > known.sentAt
        } else {
            next.sentAt >= known.receivedAt
        }

    private fun isLower(next: Double?, known: Double?) = next != null && (known == null || next < known)

    private companion object {
        /** One request in five seconds. */
        const val MIN_RATE = 0.2

        /** More than any upstream can execute. */
        const val MAX_RATE = 1_000_000.0
    }
}
