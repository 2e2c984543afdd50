package io.poplarwood.standins.net

import io.poplarwood.api.time.Ticker
import kotlin.time.TimeSource

/** Returns a ticker that reads the monotonic clock of this process. */
fun monotonicTicker(): Ticker {
    val start = TimeSource.Monotonic.markNow()
    return Ticker { start.elapsedNow() }
}
