package io.poplarwood.bench.live

import io.poplarwood.bench.api.BenchOptions
import io.poplarwood.bench.load.LoadGenerator
import io.poplarwood.bench.load.LoadReport
import io.poplarwood.entry.node.SystemTicker
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.seconds

/** Runs a [LiveCase] against a cell of its own. */
internal class LiveRun(private val options: BenchOptions) {
    private val duration = if (options.quick) 6.seconds else 12.seconds

    suspend fun run(case: LiveCase): LiveResult {
        val cell = LiveCell(options.seed)
        try {
            cell.start()
            val load = LoadGenerator(LiveLoad.classes, cell.addresses, SystemTicker, options.seed)
            var measured = Double.NaN
            val reports = load.use {
                coroutineScope {
                    val all = async { it.run(duration) }
                    delay(BEFORE)
                    measured = case.act(cell)
                    all.await()
                }
            }
            return LiveResult.of(reports, cell.runs(), cell.upstreams.sumOf { it.stats().crashes }, measured)
        } finally {
            cell.stop()
        }
    }

    private companion object {
        /** Load runs this long before the fault. */
        val BEFORE = 2.seconds
    }
}

/**
 * What a case did to the callers.
 *
 * @property cut requests whose connection to an entry was lost, or whose answer was not whole
 * @property notRun requests answered `not-run`, by reason
 * @property unknown requests answered `unknown`
 * @property twice orders that ran more than once
 * @property falselyNotRun orders answered `not-run` that did run
 */
internal class LiveResult(
    val sent: Long,
    val served: Long,
    val notRun: Map<String, Long>,
    val unknown: Long,
    val failed: Long,
    val cut: Long,
    val twice: Int,
    val falselyNotRun: Int,
    val crashes: Long,
    val measuredMs: Double,
) {
    companion object {
        private const val CUT = "entry-connection-lost"

        fun of(reports: List<LoadReport>, runs: Map<String, Int>, crashes: Long, measured: Double): LiveResult {
            val cut = reports.sumOf { it.unknown[CUT] ?: 0 } + reports.sumOf { it.wrong }
            val refused = reports.flatMapTo(HashSet()) { it.refusedTokens }
            return LiveResult(
                sent = reports.sumOf { it.sent },
                served = reports.sumOf { it.served },
                notRun = reports.flatMap { it.refused.entries }
                    .groupBy({ it.key }, { it.value })
                    .mapValues { it.value.sum() },
                unknown = reports.sumOf { r -> r.unknown.filterKeys { it != CUT }.values.sum() },
                failed = reports.sumOf { r -> r.failed.values.sum() },
                cut = cut,
                twice = runs.count { it.value > 1 },
                falselyNotRun = refused.count { it in runs },
                crashes = crashes,
                measuredMs = measured,
            )
        }
    }
}
