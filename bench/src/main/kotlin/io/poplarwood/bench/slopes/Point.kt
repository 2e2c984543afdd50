package io.poplarwood.bench.slopes

/**
 * What control costs one entry at one size.
 *
 * @property cpuMicros processor time, microseconds per second
 * @property bytes bytes sent to peers per second
 * @property heapKb kilobytes of heap
 */
internal data class Point(val size: Double, val cpuMicros: Double, val bytes: Double, val heapKb: Double)
