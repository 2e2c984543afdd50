package io.poplarwood.standins.platform

/**
 * Rate limits of the stand-in platform. Each limit allows a burst of one second's worth.
 *
 * @property writesPerSecond rows and objects written per second
 * @property readsPerSecond rows, scans, objects and VM lists read per second
 */
data class PlatformLimits(val writesPerSecond: Double = 500.0, val readsPerSecond: Double = 2_000.0)
