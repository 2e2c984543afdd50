package io.poplarwood.entry.metrics

/**
 * Statistics of the recent calls of one class.
 *
 * @property servedPart fraction of the requests served within the target's latency, from 0 to 1; null without a latency
 *   target or without requests
 * @property p99Ms 99th percentile of the time from arrival to the end of the response, in ms; null without responses
 */
class RecentSummary(val requests: Long, val refused: Long, val servedPart: Double?, val p99Ms: Double?) {
    companion object {
        /** Summary of a class without recent calls. */
        val NONE = RecentSummary(0, 0, null, null)
    }
}
