package io.poplarwood.bench.limits

import io.poplarwood.platform.standin.ArrivalTimes
import io.poplarwood.platform.standin.ManyCallers

/**
 * What one [LimitCase] showed. Shares of requests are of all that ended.
 *
 * @property most largest number of requests at one upstream in four seconds, among upstreams with a limit
 * @property allowed the number that is allowed there
 * @property usedShare requests at upstreams with a limit, as a share of what their limits allow on average
 */
internal class LimitResult(
    val most: Int,
    val allowed: Int,
    val usedShare: Double,
    private val servedShare: Double,
    private val refusedShare: Double,
    private val refusalP99Ms: Double,
) {
    fun figures(): List<Double> =
        listOf(most.toDouble(), allowed.toDouble(), usedShare, servedShare, refusedShare, refusalP99Ms)

    companion object {
        private const val OK = 200
        private const val REFUSED = 503

        /** The platform's rule: at most one and a half times what the limit allows in four seconds, and five more. */
        private const val WINDOW_MS = 4_000L
        private const val OVERAGE = 1.5
        private const val SLACK = 5

        /** Evaluates the time from [fromMs] to [toMs]; [arrivals] and [limits] belong together. */
        fun of(
            arrivals: List<ArrivalTimes>,
            limits: List<Double>,
            fromMs: Long,
            toMs: Long,
            results: Collection<ManyCallers.Result>,
        ): LimitResult {
            val most = arrivals.maxOf { it.most(WINDOW_MS, fromMs, toMs) }
            val allowed = (limits.max() * WINDOW_MS / 1_000 * OVERAGE + SLACK).toInt()
            val used = arrivals.sumOf { it.count(fromMs, toMs) } / (limits.sum() * (toMs - fromMs) / 1_000)
            val ended = results.toList()
            val refused = ended.filter { it.status == REFUSED }
            return LimitResult(
                most,
                allowed,
                used,
                ended.count { it.status == OK }.toDouble() / ended.size,
                refused.size.toDouble() / ended.size,
                p99(refused.map { it.tookMs }),
            )
        }

        private fun p99(times: List<Long>): Double =
            if (times.isEmpty()) Double.NaN else times.sorted()[(times.size - 1) * 99 / 100].toDouble()
    }
}
