package io.poplarwood.entry.node

import kotlinx.serialization.Serializable

/**
 * Response to `GET /poplarwood/entries`.
 *
 * @property lifetimeMs time in milliseconds for which a caller may cache the response
 * @property entries entries to use, in order of preference
 */
@Serializable
data class DirectoryBody(val service: String, val lifetimeMs: Long, val entries: List<DirectoryEntryBody>)
