package io.poplarwood.gateway.store

/**
 * One row as the store holds it.
 *
 * @property value null when the row was removed
 * @property version rises with each change in the store
 */
class StoredRow(val key: String, val value: ByteArray?, val version: Long)
