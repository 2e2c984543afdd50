package io.poplarwood.bench.configurations

import io.poplarwood.api.time.Ticker

/** The reading of this clock in nanoseconds. */
internal val Ticker.nowNs: Long get() = now().inWholeNanoseconds
