package io.poplarwood.entry.metrics

/**
 * Recent calls of one class.
 *
 * @property servedPart part of the requests served within the target's time; null without such a target or requests
 * @property p99Ms 99th percentile of the time from arrival to the end of the answer; null without answers
 */
class RecentSummary(val requests: Long, val refused: Long, val servedPart: Double?, val p99Ms: Double?) {
    companion object {
        /** No calls at all. */
        val NONE = RecentSummary(0, 0, null, null)
    }
}
