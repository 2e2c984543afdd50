package io.poplarwood.gateway.peer

import kotlinx.serialization.Serializable

/**
 * Address and capacity of an entry, stored so that other entries find it. Addresses are `ip:port`.
 *
 * @property callers address for callers
 * @property peers address for other entries
 * @property capacity requests per second that the VM of the entry can carry
 */
@Serializable
internal data class PeerRecord(
    val zone: String,
    val callers: String,
    val peers: String,
    val capacity: Int = DEFAULT_CAPACITY,
) {
    companion object {
        /** Capacity of an entry that does not state its own. */
        const val DEFAULT_CAPACITY = 100
    }
}
