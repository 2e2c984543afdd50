package io.poplarwood.entry.node

import kotlinx.serialization.Serializable

/**
 * One entry that a caller may send requests to.
 *
 * @property address `ip:port`
 * @property keyPrefix prefix of the idempotency keys that this entry owns; the caller appends a unique suffix
 */
@Serializable
data class DirectoryEntryBody(val address: String, val zone: String, val keyPrefix: String)
