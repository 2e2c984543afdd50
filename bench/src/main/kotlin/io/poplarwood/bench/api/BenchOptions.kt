package io.poplarwood.bench.api

/**
 * @property seed seed of every random number
 * @property quick a shorter run with fewer samples, for tests
 */
data class BenchOptions(val seed: Long = 1, val quick: Boolean = false)
