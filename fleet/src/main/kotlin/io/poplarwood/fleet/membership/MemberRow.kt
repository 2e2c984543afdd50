package io.poplarwood.fleet.membership

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.Zone
import io.poplarwood.fleet.message.Peer
import kotlinx.serialization.Serializable

/**
 * One run of one entry as membership knows it.
 *
 * @property address `ip:port` of the peer listener
 * @property callerAddress `ip:port` that callers use
 * @property revision grows with each change that the entry itself makes to its row
 * @property ready whether the entry may be named to callers
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
    /** Where its messages go. */
    val peer: Peer get() = Peer(ref, address)
}
