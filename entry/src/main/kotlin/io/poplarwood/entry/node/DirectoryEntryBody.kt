package io.poplarwood.entry.node

import kotlinx.serialization.Serializable

/**
 * One entry that a caller may use.
 *
 * @property address `ip:port`
 * @property keyPrefix start of idempotency keys that this entry owns; the caller appends a unique part
 */
@Serializable
data class DirectoryEntryBody(val address: String, val zone: String, val keyPrefix: String)
