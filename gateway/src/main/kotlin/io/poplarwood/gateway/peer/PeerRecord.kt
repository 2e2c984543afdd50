package io.poplarwood.gateway.peer

import kotlinx.serialization.Serializable

/**
 * How an entry is found by others; kept in the store. Addresses are `ip:port`.
 *
 * @property capacity requests a second that its VM can carry
 */
@Serializable
internal data class PeerRecord(
    val zone: String,
    val callers: String,
    val peers: String,
    val capacity: Int = DEFAULT_CAPACITY,
) {
    companion object {
        /** Capacity of an entry that does not tell its own. */
        const val DEFAULT_CAPACITY = 100
    }
}
