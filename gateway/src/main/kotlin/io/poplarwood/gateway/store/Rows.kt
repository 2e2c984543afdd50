package io.poplarwood.gateway.store

/** Rows of a topic with the [version] of the store that they show. */
class Rows(val rows: List<StoredRow>, val version: Long)
