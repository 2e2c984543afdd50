package io.poplarwood.bench.api

import kotlinx.serialization.Serializable

/** What a measurement found. */
@Serializable
data class BenchReport(
    val name: String,
    val seed: Long,
    val tables: List<BenchTable>,
    val checks: List<BenchCheck> = emptyList(),
    val plots: List<BenchPlot> = emptyList(),
)
