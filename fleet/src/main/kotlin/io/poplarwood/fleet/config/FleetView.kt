package io.poplarwood.fleet.config

import io.poplarwood.api.id.EntryRef
import kotlinx.serialization.Serializable

/**
 * The agreed view: the runs of entries whose majority confirms the sequence while the store is down. It changes by a
 * transaction of the change log, and only after a majority of [previous] has the current one, so any two majorities
 * that are in use share a member.
 */
@Serializable
data class FleetView(val version: Long, val members: List<EntryRef>, val previous: List<EntryRef> = emptyList()) {
    /** True when [heard] holds a majority of the members and, unless there were none, of the previous members. */
    fun majority(heard: Set<EntryRef>): Boolean =
        covers(members, heard) && (previous.isEmpty() || covers(previous, heard))

    private fun covers(group: List<EntryRef>, heard: Set<EntryRef>): Boolean =
        group.count { it in heard } * 2 > group.size
}
