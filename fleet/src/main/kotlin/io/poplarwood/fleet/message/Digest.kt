package io.poplarwood.fleet.message

import io.poplarwood.fleet.membership.MemberRow
import io.poplarwood.fleet.upstream.UpstreamStateRow
import kotlinx.serialization.Serializable

/**
 * What every ping and its answer carry.
 *
 * @property self the sender's own row
 * @property applied the sequence up to which the sender has every change in force
 * @property reading the sender's latest head reading
 * @property members recent membership changes, at most [MAX_ROWS]
 * @property upstreams recent changes of upstream states, at most [MAX_ROWS]
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
        /** Largest number of rows of one kind. */
        const val MAX_ROWS = 32
    }
}
