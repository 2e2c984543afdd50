package io.poplarwood.entry.operator

import kotlinx.serialization.Serializable

/** One fault of a document at the JSON path [path]. */
@Serializable
data class DocumentFault(val path: String, val found: String, val allowed: String)
