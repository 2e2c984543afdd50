package io.poplarwood.bench.slopes

import io.poplarwood.bench.api.BenchPlot
import io.poplarwood.bench.api.BenchRow
import io.poplarwood.bench.api.BenchTable
import io.poplarwood.bench.api.PlotSeries

/**
 * Points of one dimension with the lines through them.
 *
 * @property target size of the dimension in one cell in two years
 */
internal class Slope(val title: String, private val unit: String, val target: Double, val points: List<Point>) {
    private val sizes = points.map { it.size }
    val cpu = LinearFit.of(sizes, points.map { it.cpuMicros })
    val bytes = LinearFit.of(sizes, points.map { it.bytes })
    val heap = LinearFit.of(sizes, points.map { it.heapKb })

    fun table(): BenchTable {
        val rows = points.map { BenchRow("${it.size.toInt()} $unit", listOf(it.cpuMicros, it.bytes, it.heapKb)) }
        return BenchTable(title, COLUMNS, rows + fitRows())
    }

    fun plot(): BenchPlot {
        val series = listOf(
            PlotSeries("processor time, µs/s", sizes, points.map { it.cpuMicros }),
            PlotSeries("bytes/s", sizes, points.map { it.bytes }),
            PlotSeries("heap, KB", sizes, points.map { it.heapKb }),
        )
        return BenchPlot(title, unit, "per entry", series)
    }

    private fun fitRows() = listOf(
        BenchRow("slope per unit", listOf(cpu.slope, bytes.slope, heap.slope)),
        BenchRow("at zero", listOf(cpu.intercept, bytes.intercept, heap.intercept)),
        BenchRow("largest residual, part", listOf(cpu.residual, bytes.residual, heap.residual)),
        BenchRow("at ${target.toInt()} $unit", listOf(cpu.at(target), bytes.at(target), heap.at(target))),
    )

    private companion object {
        val COLUMNS = listOf("processor time, µs/s", "sent to peers, bytes/s", "heap, KB")
    }
}
