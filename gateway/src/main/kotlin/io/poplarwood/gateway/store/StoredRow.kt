package io.poplarwood.gateway.store

/**
 * One row of the store.
 *
 * @property value null when the row was removed
 * @property version version of the last change of the row
 */
class StoredRow(val key: String, val value: ByteArray?, val version: StoreVersion)
