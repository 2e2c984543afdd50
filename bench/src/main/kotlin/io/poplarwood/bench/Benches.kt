package io.poplarwood.bench

import io.poplarwood.bench.api.Bench

/** All measurements in the order of `bench --list`. */
object Benches {
    /** One of each. */
    val all: List<Bench> = listOf()
}
