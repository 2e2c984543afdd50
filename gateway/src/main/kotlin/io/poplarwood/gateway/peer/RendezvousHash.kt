package io.poplarwood.gateway.peer

/** Rendezvous hashing: entries that know the same candidates select the same one for a key. */
internal object RendezvousHash {
    /** The one of [entries] that is selected for [key]. */
    fun select(entries: Collection<String>, key: Long): String = entries.maxBy { weight(it, key) }

    private fun weight(entry: String, key: Long): Long {
        var bits = entry.hashCode().toLong() * ENTRY_FACTOR + key
        bits = (bits xor (bits ushr 30)) * MIX_FACTOR_1
        bits = (bits xor (bits ushr 27)) * MIX_FACTOR_2
        return bits xor (bits ushr 31)
    }

    /** Odd 64-bit constants that spread similar names. */
    private const val ENTRY_FACTOR = -0x61c8864680b583ebL
    private const val MIX_FACTOR_1 = -0x40a7b892e31b1a47L
    private const val MIX_FACTOR_2 = -0x6b2fb644ecceee15L
}
