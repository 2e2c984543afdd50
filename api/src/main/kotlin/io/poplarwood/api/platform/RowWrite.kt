package io.poplarwood.api.platform

/**
 * One write of a transaction.
 *
 * @property expected required current version of the row; 0 when the row must not exist
 * @property value new content; null deletes the row
 */
class RowWrite(val key: String, val expected: Long, val value: ByteArray?)
