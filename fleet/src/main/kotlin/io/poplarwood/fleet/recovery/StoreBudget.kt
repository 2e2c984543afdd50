package io.poplarwood.fleet.recovery

/**
 * What the table and object store of a cell take, and how it is divided.
 *
 * @property readsPerSecond reads the store takes from the whole cell
 * @property writesPerSecond row writes the store takes from the whole cell
 * @property maxEntries upper bound on the number of entries; every entry may use one part of this many
 */
data class StoreBudget(
    val readsPerSecond: Double = 2_000.0,
    val writesPerSecond: Double = 300.0,
    val maxEntries: Int = 64,
) {
    /** Reads per second of one entry. */
    val entryReads: Double get() = readsPerSecond / maxEntries

    /** Row writes per second of one entry for its own duties. */
    val entryWrites: Double get() = writesPerSecond / maxEntries

    /** Row writes per second of an entry that accepts operators' changes; half the cell's, as few accept at once. */
    val changeWrites: Double get() = writesPerSecond / 2
}
