package io.poplarwood.gateway.store

/** Rows of a topic as of store version [version]. */
class RowSnapshot(val rows: List<StoredRow>, val version: StoreVersion)
