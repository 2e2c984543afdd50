package io.poplarwood.bench.report

import io.poplarwood.bench.api.BenchPlot
import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.XYChart
import org.knowm.xchart.XYChartBuilder
import org.knowm.xchart.style.markers.SeriesMarkers

/** Draws plots as PNG images. */
internal object Charts {
    private const val WIDTH = 820
    private const val HEIGHT = 460

    fun png(plot: BenchPlot): ByteArray {
        System.setProperty("java.awt.headless", "true")
        return BitmapEncoder.getBitmapBytes(chart(plot), BitmapEncoder.BitmapFormat.PNG)
    }

    private fun chart(plot: BenchPlot): XYChart {
        val chart = XYChartBuilder().width(WIDTH).height(HEIGHT)
            .title(plot.title).xAxisTitle(plot.xLabel).yAxisTitle(plot.yLabel).build()
        chart.styler.isYAxisLogarithmic = plot.logY
        for (series in plot.series) {
            // A logarithmic axis cannot show what is not positive.
            val points = series.x.zip(series.y).filter { (_, y) -> y.isFinite() && (!plot.logY || y > 0) }
            if (points.isEmpty()) continue
            val line = chart.addSeries(series.name, points.map { it.first }, points.map { it.second })
            line.marker = if (points.size > MANY_POINTS) SeriesMarkers.NONE else SeriesMarkers.CIRCLE
        }
        return chart
    }

    private const val MANY_POINTS = 60
}
