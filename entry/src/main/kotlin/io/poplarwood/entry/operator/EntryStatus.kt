package io.poplarwood.entry.operator

import kotlinx.serialization.Serializable

/** One entry as the answering entry sees it; [sequence] is the configuration it has in force. */
@Serializable
data class EntryStatus(
    val entry: String,
    val zone: String,
    val address: String,
    val state: String,
    val sequence: Long,
    val inFlight: Int = 0,
)
