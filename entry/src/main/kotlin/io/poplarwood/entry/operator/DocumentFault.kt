package io.poplarwood.entry.operator

import kotlinx.serialization.Serializable

/** Why a document is refused, by JSON path. */
@Serializable
data class DocumentFault(val path: String, val found: String, val allowed: String)
