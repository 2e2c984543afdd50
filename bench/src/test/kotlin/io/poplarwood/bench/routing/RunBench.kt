package io.poplarwood.bench.routing

import io.poplarwood.bench.Benches
import io.poplarwood.bench.api.BenchOptions
import kotlinx.coroutines.runBlocking

/** Prints the report of the bench named by the first argument; the second is the seed. */
fun main(args: Array<String>) = runBlocking {
    val options = BenchOptions(args.getOrNull(1)?.toLong() ?: 1, args.getOrNull(2) == "quick")
    val report = Benches.all.first { it.name == args[0] }.run(options)
    for (t in report.tables) {
        println("## " + t.title + "\n  " + t.columns.joinToString(" | "))
        for (r in t.rows) println("  %-36s".format(r.label) + r.values.joinToString("") { "%10.3f".format(it) })
    }
    for (c in report.checks) println("%-72s %9.3f bound %9.3f %s".format(c.name, c.value, c.bound, c.met))
}
