package io.poplarwood.bench.api

import kotlinx.serialization.Serializable

/** A line plot for `bench --report`. */
@Serializable
data class BenchPlot(
    val title: String,
    val xLabel: String,
    val yLabel: String,
    val series: List<PlotSeries>,
    val logY: Boolean = false,
)
