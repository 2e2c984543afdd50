package io.poplarwood.entry.node

import kotlinx.serialization.Serializable

/**
 * Answer to `GET /poplarwood/entries`.
 *
 * @property lifetimeMs time for which a caller may keep the answer
 * @property entries entries to use, best first
 */
@Serializable
data class DirectoryBody(val service: String, val lifetimeMs: Long, val entries: List<DirectoryEntryBody>)
