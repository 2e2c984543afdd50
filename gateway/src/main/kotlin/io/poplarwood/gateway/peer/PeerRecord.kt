package io.poplarwood.gateway.peer

import kotlinx.serialization.Serializable

/** How an entry is found by others; kept in the store. Addresses are `ip:port`. */
@Serializable
internal data class PeerRecord(val zone: String, val callers: String, val peers: String)
