package io.poplarwood.gateway.upstream

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * State that an upstream announces in the headers of an answer.
 *
 * @property draining whether the upstream is about to stop
 * @property retryAfter time for which the upstream asks this VM for no requests; null when it does not ask for that
 * @property limit the rate of requests that the upstream accepts from all entries together
 */
internal data class UpstreamNotice(
    val draining: Boolean,
    val retryAfter: Duration?,
    val limit: LimitNotice = LimitNotice.Absent,
) {
    /** Whether the upstream asks for fewer requests than usual for some time. */
    val restrictsRequests: Boolean get() = retryAfter != null || limit is LimitNotice.Limited

    companion object {
        private const val SERVICE_UNAVAILABLE = 503
        private const val LEAVING_MARK = "1"

        /** Excludes hexadecimal numbers and the type suffixes `d` and `f`, which Kotlin would accept. */
        private val NUMBER = Regex("""[+-]?(\d+\.?\d*|\.\d+)([eE][+-]?\d+)?|[+-]?Infinity""")

        /** Assumed for a Retry-After value that is not a number. */
        private val UNREADABLE_RETRY_AFTER = 1.seconds

        /**
         * Parses the leaving mark and the Retry-After values of an answer with [status]. Retry-After only counts with
         * status 503. The longest of several values counts; a value that is zero or negative is ignored, and one that
         * is not a number, such as a date, counts as one second.
         */
        fun of(
            status: Int,
            leavingMark: String?,
            retryAfter: List<String>,
            limit: List<String> = emptyList(),
        ): UpstreamNotice {
            val times = if (status == SERVICE_UNAVAILABLE) retryAfter.flatMap { it.split(',') } else emptyList()
            return UpstreamNotice(
                leavingMark?.trim() == LEAVING_MARK,
                times.mapNotNull { parseRetryAfter(it.trim()) }.maxOrNull(),
                LimitNotice.parse(limit),
            )
        }

        private fun parseRetryAfter(text: String): Duration? {
            if (!NUMBER.matches(text)) return UNREADABLE_RETRY_AFTER
            val seconds = text.toDouble()
            return seconds.takeIf { it > 0 }?.seconds
        }
    }
}
