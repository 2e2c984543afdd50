package io.poplarwood.fleet.message

import io.poplarwood.api.id.EntryRef
import kotlinx.serialization.Serializable

/** One run of an entry and the `ip:port` of its peer listener. */
@Serializable
data class Peer(val ref: EntryRef, val address: String)
