package io.poplarwood.bench.api

import kotlinx.serialization.Serializable

/** Points of one line of a [BenchPlot]. */
@Serializable
data class PlotSeries(val name: String, val x: List<Double>, val y: List<Double>)
