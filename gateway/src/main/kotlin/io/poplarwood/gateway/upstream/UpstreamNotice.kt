package io.poplarwood.gateway.upstream

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What an upstream says of itself beside an answer.
 *
 * @property leaving it is about to leave
 * @property notBefore time for which it wants nothing from this VM; null when it does not say
 */
internal data class UpstreamNotice(val leaving: Boolean, val notBefore: Duration?) {
    companion object {
        private const val SERVICE_UNAVAILABLE = 503
        private const val LEAVING_MARK = "1"

        /** What an upstream asks for whose words cannot be read. */
        private val UNREADABLE_RETRY_AFTER = 1.seconds

        /**
         * Reads the mark of leaving and the times to come back of an answer with [status]. Only a 503 asks for a time.
         * Of several times the longest counts; one that has passed, or is no number such as a date, counts as none or
         * as a second.
         */
        fun of(status: Int, leavingMark: String?, retryAfter: List<String>): UpstreamNotice {
            val times = if (status == SERVICE_UNAVAILABLE) retryAfter.flatMap { it.split(',') } else emptyList()
            return UpstreamNotice(
                leavingMark?.trim() == LEAVING_MARK,
                times.mapNotNull { parseRetryAfter(it.trim()) }.maxOrNull(),
            )
        }

        private fun parseRetryAfter(text: String): Duration? {
            val seconds = text.toDoubleOrNull()?.takeUnless { it.isNaN() } ?: return UNREADABLE_RETRY_AFTER
            return seconds.takeIf { it > 0 }?.seconds
        }
    }
}
