package io.poplarwood.bench.limits

import io.poplarwood.bench.api.Bench
import io.poplarwood.bench.api.BenchCheck
import io.poplarwood.bench.api.BenchOptions
import io.poplarwood.bench.api.BenchReport
import io.poplarwood.bench.api.BenchRow
import io.poplarwood.bench.api.BenchTable
import io.poplarwood.platform.standin.ArrivalTimes
import io.poplarwood.platform.standin.LimitedCell
import io.poplarwood.platform.standin.ManyCallers
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext

/** Upstreams that name a rate limit for all entries together, over real connections: how it is kept and used. */
class LimitsBench : Bench {
    override val name: String = "limits"
    override val summary: String = "rate limits that all entries share: how they are kept and used, what callers get"

    override suspend fun run(options: BenchOptions): BenchReport = withContext(Dispatchers.IO) {
        val rows = LimitCase.ALL.map { it to run(it, if (options.quick) QUICK_MS else FULL_MS) }
        val table = BenchTable(
            "Rate limits, ${LimitCase.ENTRIES} entries",
            listOf("most in 4 s", "allowed", "share used", "share served", "share refused", "p99 of refusals, ms"),
            rows.map { (case, result) -> BenchRow(case.name, result.figures()) },
        )
        val checks = rows.flatMap { (case, result) ->
            listOf(
                BenchCheck("${case.name}: most in 4 s", result.most.toDouble(), result.allowed.toDouble()),
                BenchCheck("${case.name}: share used", result.usedShare, MIN_USED_SHARE, atMost = false),
            )
        }
        BenchReport(name, options.seed, listOf(table), checks)
    }

    private fun run(case: LimitCase, lengthMs: Long): LimitResult = LimitedCell().use { cell ->
        val limited = case.limits.indices.filter { case.limits[it] != null }.map { "u$it" }
        case.limits.forEachIndexed { i, limit -> cell.startUpstream("u$i") { limit?.toString() } }
        cell.startEntries(LimitCase.ENTRIES)
        if (case.oneEntry) cell.useOnly("e1")
        ManyCallers(case.perSecond) { cell.callerAddresses }.start().use { callers ->
            Thread.sleep(SETTLE_MS)
            callers.results.clear()
            val fromMs = ArrivalTimes.nowMs()
            disturb(cell, case, lengthMs)
            val toMs = ArrivalTimes.nowMs()
            LimitResult.of(limited.map(cell::arrivalsAt), case.limits.filterNotNull(), fromMs, toMs, callers.results)
        }
    }

    /** Restarts one entry and loses another within [lengthMs] if [case] says so. */
    private fun disturb(cell: LimitedCell, case: LimitCase, lengthMs: Long) {
        Thread.sleep(lengthMs / 4)
        if (case.restarts) cell.restartEntry("e2")
        Thread.sleep(lengthMs / 4)
        if (case.restarts) cell.loseEntry("e3")
        Thread.sleep(lengthMs / 2)
    }

    private companion object {
        /** Time after the first answer with a limit from which the platform's rule holds. */
        const val SETTLE_MS = 3_000L
        const val FULL_MS = 16_000L
        const val QUICK_MS = 6_000L

        /** A limit that is kept by leaving most of it unused serves callers badly. */
        const val MIN_USED_SHARE = 0.5
    }
}
