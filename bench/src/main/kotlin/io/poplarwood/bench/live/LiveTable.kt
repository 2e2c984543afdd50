package io.poplarwood.bench.live

import io.poplarwood.bench.api.BenchRow
import io.poplarwood.bench.api.BenchTable

/** Results of cases as a table; [measured] names what each case measures in milliseconds. */
internal fun liveTable(title: String, measured: String, results: List<Pair<LiveCase, LiveResult>>): BenchTable {
    val columns = listOf(
        "sent",
        "served",
        "not-run",
        "unknown",
        "failed",
        "cut",
        "ran twice",
        "falsely not-run",
        "crashes",
        measured,
    )
    val rows = results.map { (case, r) ->
        val counts = listOf(r.sent, r.served, r.notRun.values.sum(), r.unknown, r.failed, r.cut)
        val faults = listOf(r.twice.toDouble(), r.falselyNotRun.toDouble(), r.crashes.toDouble(), r.measuredMs)
        BenchRow(case.name, counts.map { it.toDouble() } + faults)
    }
    return BenchTable(title, columns, rows)
}

/** Answers `not-run` of [results] by reason. */
internal fun reasonTable(results: List<Pair<LiveCase, LiveResult>>): BenchTable {
    val reasons = results.flatMapTo(sortedSetOf()) { it.second.notRun.keys }.toList()
    val rows = results.map { (case, r) -> BenchRow(case.name, reasons.map { (r.notRun[it] ?: 0).toDouble() }) }
    return BenchTable("Answers not-run by reason", reasons, rows)
}
