package io.poplarwood.bench.api

import kotlinx.serialization.Serializable

/** One row of a [BenchTable]; NaN stands for a value that does not apply. */
@Serializable
data class BenchRow(val label: String, val values: List<Double>)
