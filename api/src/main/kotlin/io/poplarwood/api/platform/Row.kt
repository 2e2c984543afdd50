package io.poplarwood.api.platform

/** One row of the table. [version] starts at 1 and increases by 1 with each write of the row. */
class Row(val key: String, val version: Long, val value: ByteArray)
