package io.poplarwood.api.random

/** SplitMix64 generator (Steele, Lea and Flood, 2014). Equal seeds give equal sequences. Not thread-safe. */
class SplitMix(seed: Long) : RandomSource {
    private var state = seed

    override fun nextLong(): Long {
        state += GOLDEN_GAMMA
        var z = state
        z = (z xor (z ushr 30)) * MIX_A
        z = (z xor (z ushr 27)) * MIX_B
        return z xor (z ushr 31)
    }

    private companion object {
        const val GOLDEN_GAMMA = -0x61c8864680b583ebL
        const val MIX_A = -0x40a7b892e31b1a47L
        const val MIX_B = -0x6b2fb644ecceee15L
    }
}
