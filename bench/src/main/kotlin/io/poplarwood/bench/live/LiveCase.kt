package io.poplarwood.bench.live

/**
 * One fault or stop under load.
 *
 * @property act begins the fault when the load has run for a while; returns milliseconds that the case measures, or NaN
 */
internal class LiveCase(val name: String, val act: suspend (LiveCell) -> Double)
