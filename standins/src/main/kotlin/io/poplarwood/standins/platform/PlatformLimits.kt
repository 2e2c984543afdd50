package io.poplarwood.standins.platform

/**
 * Rates above which the stand-in throttles; each allows a burst of one second's worth.
 *
 * @property writesPerSecond rows and objects written a second
 * @property readsPerSecond rows, scans and objects read a second
 */
data class PlatformLimits(val writesPerSecond: Double = 500.0, val readsPerSecond: Double = 2_000.0)
