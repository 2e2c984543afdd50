package io.poplarwood.entry.settings

import kotlinx.serialization.Serializable

/**
 * Settings of the listener for other entries.
 *
 * @property address `host:port` to listen on
 * @property advertised `host:port` under which other entries reach the listener; null means [address]
 * @property seeds `host:port` of peer listeners to contact besides those in the VM list
 * @property secretFile file that holds the shared secret of the cell
 */
@Serializable
data class PeerListener(
    val address: String,
    val secretFile: String,
    val advertised: String? = null,
    val seeds: List<String> = emptyList(),
)
