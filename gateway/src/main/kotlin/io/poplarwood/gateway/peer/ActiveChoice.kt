package io.poplarwood.gateway.peer

/**
 * Which entries of a zone take the zone's callers: as few as carry its load, since an entry that sees more requests
 * knows more of the upstreams, and what entries tell each other grows with the square of their number.
 *
 * Answers zones whose VMs differ in what they can carry and loads that grow within seconds: those with the most
 * capacity go first, and further ones join before the first are full. Entries that have just started come last.
 */
internal object ActiveChoice {
    /** Those of [zone], all live entries of one zone, that take its callers; the first one is the zone's lead. */
    fun of(zone: List<ActiveCandidate>): List<ActiveCandidate> {
        val byPreference = zone.sortedWith(PREFERENCE)
        val requiredCapacity = byPreference.sumOf { it.requestsPerS } / MAX_LOAD_FACTOR
        var selectedCapacity = 0
        return byPreference.filterIndexed { i, entry ->
            val isSelected = i < FEWEST || selectedCapacity < requiredCapacity
            selectedCapacity += entry.capacity
            isSelected
        }
    }

    /** Warm entries first, of these those that carry most. */
    val PREFERENCE: Comparator<ActiveCandidate> = compareBy<ActiveCandidate> {
        !it.warm
    }.thenByDescending { it.capacity }.thenBy { it.name }

    /** With fewer entries the loss of one would leave its zone's callers without another. */
    const val FEWEST = 2

    /** Share of its capacity up to which an entry is used before another joins. */
    private const val MAX_LOAD_FACTOR = 0.8
}
