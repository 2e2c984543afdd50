package io.poplarwood.api.random

/** Source of random numbers, injected so that tests and benchmarks are reproducible. */
fun interface RandomSource {
    /** 64 uniformly distributed bits. */
    fun nextLong(): Long

    /** A uniformly distributed number in `0 until bound`; [bound] is positive. */
    fun nextInt(bound: Int): Int {
        require(bound > 0) { "bound must be positive, is $bound" }
        return ((nextLong() ushr 32) * bound ushr 32).toInt()
    }

    /** A uniformly distributed number in `0.0..<1.0`. */
    fun nextDouble(): Double = (nextLong() ushr DOUBLE_SHIFT) * DOUBLE_UNIT

    private companion object {
        const val DOUBLE_SHIFT = 11
        const val DOUBLE_UNIT = 1.0 / (1L shl 53)
    }
}
