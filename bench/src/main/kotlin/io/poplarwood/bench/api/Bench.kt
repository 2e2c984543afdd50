package io.poplarwood.bench.api

/** One measurement that `poplarwood bench` runs. */
interface Bench {
    /** Name on the command line. */
    val name: String

    /** One line for `bench --list`. */
    val summary: String

    /** Runs the measurement. Equal seeds give equal figures where the clock is injected. */
    suspend fun run(options: BenchOptions): BenchReport
}
