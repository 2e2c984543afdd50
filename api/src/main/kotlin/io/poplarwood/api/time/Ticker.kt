package io.poplarwood.api.time

import kotlin.time.Duration

/** Monotonic clock of one process. Readings of two processes are not comparable. */
fun interface Ticker {
    /** Time since an arbitrary fixed point of this process. */
    fun now(): Duration
}
