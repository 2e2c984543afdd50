package io.poplarwood.entry.settings

import kotlinx.serialization.Serializable

/**
 * The listener for other entries.
 *
 * @property address `host:port` to listen at
 * @property advertised `host:port` that other entries use; null where it is [address]
 * @property seeds peer listeners to try besides those in the VM list
 * @property secretFile shared secret of the cell
 */
@Serializable
data class PeerListener(
    val address: String,
    val secretFile: String,
    val advertised: String? = null,
    val seeds: List<String> = emptyList(),
)
