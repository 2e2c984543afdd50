package io.poplarwood.fleet.message

import io.poplarwood.fleet.membership.MemberRow
import io.poplarwood.fleet.upstream.UpstreamStateRow
import kotlinx.serialization.Serializable

/**
 * State of the sender that every [FleetMessage.Ping] and [FleetMessage.Ack] carries.
 *
 * @property self the sender's own row
 * @property applied the sequence up to which the sender has every change in force
 * @property reading the sender's latest head reading
 * @property members membership rows that changed recently, at most [MAX_ROWS]
 * @property upstreams upstream states that changed recently, at most [MAX_ROWS]
 */
@Serializable
data class Digest(
    val self: MemberRow,
    val applied: Long,
    val reading: HeadReading? = null,
    val members: List<MemberRow> = emptyList(),
    val upstreams: List<UpstreamStateRow> = emptyList(),
) {
    companion object {
        /** Maximum number of rows in each list. */
        const val MAX_ROWS = 32
    }
}
