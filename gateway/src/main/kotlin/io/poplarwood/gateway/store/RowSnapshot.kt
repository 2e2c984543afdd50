package io.poplarwood.gateway.store

/** Rows of a topic as of store version [version]. */
class RowSnapshot(val rows: List<StoredRow>, val version: StoreVersion) {
    /** Version of the newest of the [rows]; [StoreVersion.NONE] without rows. */
    val newestRow: StoreVersion get() = rows.maxOfOrNull { it.version } ?: StoreVersion.NONE
}
