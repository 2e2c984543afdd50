package io.poplarwood.api.platform

/**
 * One write of a transaction.
 *
 * @property expected version that the row must have, 0 for a row that must not exist
 * @property value new content; null deletes the row
 */
class RowWrite(val key: String, val expected: Long, val value: ByteArray?)
