package io.poplarwood.bench

import io.poplarwood.bench.api.Bench
import io.poplarwood.bench.overhead.OverheadBench

/** All measurements in the order of `bench --list`. */
object Benches {
    /** One of each. */
    val all: List<Bench> = listOf(
        OverheadBench(),
    )
}
