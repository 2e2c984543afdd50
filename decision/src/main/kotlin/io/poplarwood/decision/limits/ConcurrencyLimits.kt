package io.poplarwood.decision.limits

/**
 * Requests that each upstream runs at once without shedding or queueing, one row per upstream.
 *
 * A limit starts at the reported slots. Sheds lower it. Where latency grows, a step down is tried: if latency
 * falls with the limit, the upstream was queueing and the step stays; if not, the upstream is slow and the step is
 * taken back. Limits grow by one after a quiet time.
 */
class ConcurrencyLimits {
    private var slots = IntArray(INITIAL)
    private var limits = IntArray(INITIAL)
    private var smooth = DoubleArray(INITIAL)
    private var base = DoubleArray(INITIAL)
    private var before = DoubleArray(INITIAL)
    private var limitBefore = IntArray(INITIAL)
    private var grownFor = IntArray(INITIAL)
    private var judgeIn = IntArray(INITIAL)
    private var quiet = IntArray(INITIAL)

    /** The limit of [row]. */
    fun limit(row: Int): Int = limits[row]

    /** Sets the reported [count] of slots of [row]; the limit restarts there when the report changes. */
    fun report(row: Int, count: Int) {
        if (row >= slots.size) grow(row * 2)
        val sane = count.coerceAtLeast(1)
        if (slots[row] == sane) return
        slots[row] = sane
        limits[row] = sane
        base[row] = 0.0
        smooth[row] = 0.0
        judgeIn[row] = 0
        grownFor[row] = 0
        quiet[row] = 0
    }

    /** Forgets [row], which another upstream may take over. */
    fun clear(row: Int) {
        if (row < slots.size) slots[row] = 0
    }

    /**
     * Adapts the limit of [row]; called once per second.
     *
     * @param latency smoothed latency, in any unit; 0 when unknown
     * @param sheds attempts shed since the last call although they were within the limit
     */
    fun adapt(row: Int, latency: Double, sheds: Int) {
        quiet[row]++
        if (sheds >= FEWEST_SHEDS) {
            lower(row)
            judgeIn[row] = 0
        } else if (latency > 0) {
            val known = smooth[row]
            smooth[row] = if (known == 0.0) latency else known + (latency - known) * SMOOTHING
            follow(row, smooth[row])
        }
        if (quiet[row] >= QUIET_SECONDS && limits[row] < slots[row]) {
            limits[row]++
            quiet[row] = 0
        }
    }

    private fun follow(row: Int, latency: Double) {
        if (judgeIn[row] > 0) {
            if (--judgeIn[row] == 0) judge(row, latency)
            return
        }
        base[row] = if (base[row] == 0.0) latency else minOf(base[row] * BASE_GROWTH, latency)
        grownFor[row] = if (latency > GROWN * base[row] && limits[row] > 1) grownFor[row] + 1 else 0
        if (grownFor[row] >= JUDGE_SECONDS) {
            grownFor[row] = 0
            before[row] = latency
            limitBefore[row] = limits[row]
            lower(row)
            judgeIn[row] = JUDGE_SECONDS
        }
    }

    private fun judge(row: Int, latency: Double) {
        // Half way between an upstream that queues, whose latency falls with the limit, and one that is slow.
        val fallen = (1.0 + limits[row].toDouble() / limitBefore[row]) / 2
        if (latency <= fallen * before[row]) return
        limits[row] = limitBefore[row]
        base[row] = latency
    }

    private fun lower(row: Int) {
        limits[row] = (limits[row] - maxOf(1, limits[row] / STEP)).coerceAtLeast(1)
        quiet[row] = 0
    }

    private fun grow(to: Int) {
        slots = slots.copyOf(to)
        limits = limits.copyOf(to)
        base = base.copyOf(to)
        smooth = smooth.copyOf(to)
        before = before.copyOf(to)
        limitBefore = limitBefore.copyOf(to)
        grownFor = grownFor.copyOf(to)
        judgeIn = judgeIn.copyOf(to)
        quiet = quiet.copyOf(to)
    }

    private companion object {
        const val INITIAL = 64

        /** One shed may come from another entry's attempt without a lease. */
        const val FEWEST_SHEDS = 2

        /** Growth of latency that starts a trial; less is within the noise of the smoothed value. */
        const val GROWN = 1.6

        /** The lowest latency rises by 1% per second, so that a lasting change becomes the norm. */
        const val BASE_GROWTH = 1.01

        /** A step down takes a third of the limit; a smaller change of latency drowns in noise. */
        const val STEP = 3

        /** Weight of one second's latency; without it the noise of few answers starts trials all the time. */
        const val SMOOTHING = 0.3

        /** Time for the smoothed latency to follow a change, before a trial starts and before it is judged. */
        const val JUDGE_SECONDS = 6
        const val QUIET_SECONDS = 10
    }
}
