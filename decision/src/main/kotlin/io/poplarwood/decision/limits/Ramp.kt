package io.poplarwood.decision.limits

/** Slow start: the share of its normal work that a new or returning upstream gets. */
object Ramp {
    /** Share at the start of a ramp; above zero so that there are observations on which the upstream can return. */
    const val INITIAL_SHARE: Double = 0.1

    /** Share after [elapsed] of a ramp of [length], both in the same unit of time. */
    fun share(elapsed: Long, length: Long): Double = when {
        length <= 0 || elapsed >= length -> 1.0
        elapsed <= 0 -> INITIAL_SHARE
        else -> INITIAL_SHARE + (1.0 - INITIAL_SHARE) * elapsed / length
    }
}
