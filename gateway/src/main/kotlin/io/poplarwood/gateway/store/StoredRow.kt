package io.poplarwood.gateway.store

/**
 * One row of the store.
 *
 * @property value null when the row was removed
 * @property version increases with each change in the store
 */
class StoredRow(val key: String, val value: ByteArray?, val version: Long)
