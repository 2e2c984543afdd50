package io.poplarwood.bench.budget

/** Says whether an entry may send a probe now, and counts it when so. */
internal fun interface ProbeLimiter {
    fun take(): Boolean
}
