package io.poplarwood.gateway.peer

/**
 * Selects the entries of a zone that take its callers: as few as can carry the load. An entry that sees more requests
 * knows more about the upstreams, and the messages between entries grow with the square of the number of active
 * entries.
 *
 * Entries with the highest capacity come first, because VMs differ in capacity. Further entries join before the first
 * ones are full, because load may grow within seconds. Entries that have just started come last. Entries that are
 * cut off from upstreams are selected only where all of the zone are.
 */
internal object ActivePolicy {
    /**
     * Selects from [zone], which holds all live entries of one zone; the first entry of the result is the zone leader.
     */
    fun of(zone: List<ActiveCandidate>): List<ActiveCandidate> {
        val byPreference = zone.filterNot { it.cutOff }.ifEmpty { zone }.sortedWith(PREFERENCE)
        val requiredCapacity = zone.sumOf { it.requestsPerS } / MAX_LOAD_FACTOR
        var selectedCapacity = 0
        return byPreference.filterIndexed { i, entry ->
            val isSelected = i < MIN_ACTIVE || selectedCapacity < requiredCapacity
            selectedCapacity += entry.capacity
            isSelected
        }
    }

    /** Entries that reach upstreams first, then warm ones, then by descending capacity, then by name. */
    val PREFERENCE: Comparator<ActiveCandidate> = compareBy<ActiveCandidate>({ it.cutOff }, { !it.warm })
        .thenByDescending { it.capacity }.thenBy { it.name }

    /** With a single entry, its loss would leave the callers of the zone without another one. */
    const val MIN_ACTIVE = 2

    /** Load factor that the selected entries may reach before another entry joins. */
    private const val MAX_LOAD_FACTOR = 0.8
}
