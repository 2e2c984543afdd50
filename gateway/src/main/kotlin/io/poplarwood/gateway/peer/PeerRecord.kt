package io.poplarwood.gateway.peer

import kotlinx.serialization.Serializable

/**
 * Address and capacity of an entry, stored so that other entries find it. Addresses are `ip:port`.
 *
 * @property callers address for callers
 * @property peers address for other entries
 * @property capacity requests per second that the VM of the entry can carry
 * @property relay address for requests that other entries send on; null for an entry that takes none
 */
@Serializable
internal data class PeerRecord(
    val zone: String,
    val callers: String,
    val peers: String,
    val capacity: Int = DEFAULT_CAPACITY,
    val relay: String? = null,
) {
    companion object {
        /** Capacity of an entry that does not state its own. */
        const val DEFAULT_CAPACITY = 100
    }
}
