package io.poplarwood.entry.node

import io.poplarwood.api.time.Ticker
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Monotonic clock of the process. */
object SystemTicker : Ticker {
    private val origin = System.nanoTime()

    override fun now(): Duration = (System.nanoTime() - origin).nanoseconds
}
