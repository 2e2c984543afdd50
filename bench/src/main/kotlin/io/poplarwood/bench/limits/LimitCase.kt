package io.poplarwood.bench.limits

/**
 * One load on upstreams with rate limits.
 *
 * @property limits requests per second that each upstream names; null for an upstream without a limit
 * @property perSecond requests per second of all callers
 * @property oneEntry whether all callers use the same entry
 * @property restarts whether one entry restarts and another one is lost
 */
internal class LimitCase(
    val name: String,
    val limits: List<Double?>,
    val perSecond: Int,
    val oneEntry: Boolean = false,
    val restarts: Boolean = false,
) {
    companion object {
        const val ENTRIES = 6

        val ALL = listOf(
            LimitCase("one of four at 2/s, 60/s", listOf(2.0, null, null, null), perSecond = 60),
            LimitCase("the same, restarts", listOf(2.0, null, null, null), perSecond = 60, restarts = true),
            LimitCase("all three at 1.8/s, 30/s", listOf(1.8, 1.8, 1.8), perSecond = 30),
            LimitCase("the same, restarts", listOf(1.8, 1.8, 1.8), perSecond = 30, restarts = true),
            LimitCase("both at 6/s, one entry, 30/s", listOf(6.0, 6.0), perSecond = 30, oneEntry = true),
            LimitCase("one of two at 40/s, 200/s", listOf(40.0, null), perSecond = 200),
        )
    }
}
