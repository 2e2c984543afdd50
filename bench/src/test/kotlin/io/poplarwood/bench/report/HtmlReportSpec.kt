package io.poplarwood.bench.report

import io.poplarwood.bench.api.BenchCheck
import io.poplarwood.bench.api.BenchPlot
import io.poplarwood.bench.api.BenchReport
import io.poplarwood.bench.api.BenchRow
import io.poplarwood.bench.api.BenchTable
import io.poplarwood.bench.api.PlotSeries
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path
import java.util.Base64
import javax.imageio.ImageIO
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class HtmlReportSpec {
    @TempDir
    private lateinit var directory: Path

    /** Guards against a report without its plots on a machine without a display, and values that break the page. */
    @Test
    fun `a report has its tables, missed checks and plots, also of values that a logarithmic axis cannot show`() {
        val series = PlotSeries("a<b", List(20) { it.toDouble() }, List(20) { if (it == 0) 0.0 else it * it * 1.5 })
        val report = BenchReport(
            "routing",
            7,
            listOf(BenchTable("Times & loads", listOf("p99 ms"), listOf(BenchRow("leases", listOf(Double.NaN))))),
            listOf(BenchCheck("p99", 3.0, 2.0)),
            listOf(BenchPlot("p99 by load", "load", "ms", listOf(series), logY = true)),
        )
        val page = Files.readString(HtmlReport.write(directory.resolve("new/dir"), listOf(report)))
        assertTrue("Times &amp; loads" in page && "<td>–</td>" in page && "class=\"missed\"" in page)
        val image = Base64.getDecoder().decode(page.substringAfter("base64,").substringBefore('"'))
        assertEquals(820, ImageIO.read(image.inputStream()).width)
    }
}
