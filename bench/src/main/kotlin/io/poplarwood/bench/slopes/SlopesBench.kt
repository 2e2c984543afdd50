package io.poplarwood.bench.slopes

import io.poplarwood.bench.api.Bench
import io.poplarwood.bench.api.BenchCheck
import io.poplarwood.bench.api.BenchOptions
import io.poplarwood.bench.api.BenchReport

/** What control costs one entry against the size of its cell, for docs/CAPACITY.md. */
class SlopesBench : Bench {
    override val name: String = "slopes"
    override val summary: String = "processor time, bytes and heap for control against the size of the cell"

    override suspend fun run(options: BenchOptions): BenchReport {
        // The first run compiles the code; its figures are dropped.
        FleetSlopes(options.copy(quick = true)).all()
        val slopes = FleetSlopes(options).all() + DecisionSlopes(options).all()
        val checks = slopes.flatMap { s ->
            listOf(
                BenchCheck("${s.title}, processor time µs/s", s.cpu.at(s.target), TargetSize.CPU_MICROS),
                BenchCheck("${s.title}, bytes/s", s.bytes.at(s.target), TargetSize.BYTES),
                BenchCheck("${s.title}, heap KB", s.heap.at(s.target), TargetSize.HEAP_KB),
            )
        }
        val tables = slopes.map { it.table() } + ListSlope.table()
        return BenchReport(name, options.seed, tables, checks, slopes.map { it.plot() })
    }
}
