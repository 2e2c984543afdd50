package io.poplarwood.bench.api

import kotlinx.serialization.Serializable

/** A figure against the [bound] of a stated target; [atMost] tells which side is met. */
@Serializable
data class BenchCheck(val name: String, val value: Double, val bound: Double, val atMost: Boolean = true) {
    /** True when the target is met. */
    val met: Boolean get() = if (atMost) value <= bound else value >= bound
}
