package io.poplarwood.fleet.membership

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.Zone
import io.poplarwood.fleet.message.Peer
import kotlinx.serialization.Serializable

/**
 * Membership state of one run of one entry.
 *
 * @property address `ip:port` of the peer listener
 * @property callerAddress `ip:port` that callers use
 * @property revision increases with each change that the entry makes to its own row
 * @property ready whether directory replies to callers may name the entry
 * @property load utilisation of the entry, 0..1
 */
@Serializable
data class MemberRow(
    val ref: EntryRef,
    val address: String,
    val callerAddress: String,
    val zone: Zone,
    val revision: Long = 0,
    val state: MemberState = MemberState.LIVE,
    val ready: Boolean = false,
    val load: Double = 0.0,
) {
    /** Address of the entry for fleet messages. */
    val peer: Peer get() = Peer(ref, address)
}
