package io.poplarwood.entry.operator

import kotlinx.serialization.Serializable

/**
 * One entry as the responding entry sees it.
 *
 * @property sequence number of the configuration that the entry has in force; -1 when unknown
 * @property inFlight requests in flight at the responding entry; 0 for all other entries
 */
@Serializable
data class EntryStatus(
    val entry: String,
    val zone: String,
    val address: String,
    val state: String,
    val sequence: Long,
    val inFlight: Int = 0,
)
