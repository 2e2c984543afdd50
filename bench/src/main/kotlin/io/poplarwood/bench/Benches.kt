package io.poplarwood.bench

import io.poplarwood.bench.api.Bench
import io.poplarwood.bench.config.ConfigBench
import io.poplarwood.bench.deep.DeepBench

/** All measurements in the order of `bench --list`. */
object Benches {
    /** One of each. */
    val all: List<Bench> = listOf(
        ConfigBench(),
        DeepBench(),
    )
}
