package io.poplarwood.bench.load

import kotlinx.serialization.Serializable

/** Answer to `GET /poplarwood/entries` as a caller reads it; keys that it does not know are passed over. */
@Serializable
internal data class DirectoryAnswer(val lifetimeMs: Long, val entries: List<DirectoryEntry>)
