package io.poplarwood.fleet.snapshot

import io.poplarwood.fleet.config.DocumentInForce
import io.poplarwood.fleet.config.FleetView
import kotlinx.serialization.Serializable

/**
 * One page of the full configuration state that a starting entry fetches from a peer.
 *
 * @property format version of this format
 * @property sequence sequence up to which the sender has every change in force
 * @property takenMs wall-clock time at the sender, milliseconds since the epoch
 */
@Serializable
data class FleetSnapshot(
    val format: Int,
    val sequence: Long,
    val takenMs: Long,
    val documents: List<DocumentInForce>,
    val view: FleetView? = null,
) {
    companion object {
        /** Format version that this release writes and reads. */
        const val FORMAT = 1
    }
}
