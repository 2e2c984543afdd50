package io.poplarwood.gateway.store

/** Rows of a topic as of store version [version]. */
class Rows(val rows: List<StoredRow>, val version: Long)
