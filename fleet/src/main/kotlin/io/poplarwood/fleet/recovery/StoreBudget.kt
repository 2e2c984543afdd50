package io.poplarwood.fleet.recovery

/**
 * Capacity of the table and object store of a cell, and its division among entries.
 *
 * @property readsPerSecond reads per second that the store can serve for the whole cell
 * @property writesPerSecond row writes per second that the store can serve for the whole cell
 * @property maxEntries maximum number of entries; each entry may use an equal share of the capacity
 */
data class StoreBudget(
    val readsPerSecond: Double = 2_000.0,
    val writesPerSecond: Double = 300.0,
    val maxEntries: Int = 64,
) {
    /** Reads per second of one entry. */
    val entryReads: Double get() = readsPerSecond / maxEntries

    /** Row writes per second of one entry, other than those of operators' changes. */
    val entryWrites: Double get() = writesPerSecond / maxEntries

    /** Row writes per second of one entry for operators' changes; half of the capacity, as few entries accept. */
    val changeWrites: Double get() = writesPerSecond / 2
}
