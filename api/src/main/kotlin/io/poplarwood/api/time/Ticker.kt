package io.poplarwood.api.time

import kotlin.time.Duration

/** Monotonic clock of one process. Readings from different processes are not comparable. */
fun interface Ticker {
    /** Time since an arbitrary fixed point in the lifetime of this process. */
    fun now(): Duration
}
