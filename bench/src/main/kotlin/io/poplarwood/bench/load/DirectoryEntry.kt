package io.poplarwood.bench.load

import kotlinx.serialization.Serializable

/** An entry that a caller may use. */
@Serializable
internal data class DirectoryEntry(val address: String, val keyPrefix: String)
