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
    /**
     * True when [responders] holds a majority of the members and, unless there were none, of the previous members.
     *
     * Runs in [ended] are left out of the count. They hold nothing that could still be asked for, and every majority
     * that anyone can hear is one of the rest. Only what the store has decided may be counted so: a reading of the
     * head without the store must not, as an ended run may have been the one that knew of a change.
     */
    fun hasMajority(responders: Set<EntryRef>, ended: Set<EntryRef> = emptySet()): Boolean =
        coversMajority(members, responders, ended) &&
            (previous.isEmpty() || coversMajority(previous, responders, ended))

    private fun coversMajority(group: List<EntryRef>, responders: Set<EntryRef>, ended: Set<EntryRef>): Boolean {
        val counted = group.filter { it !in ended }
        return counted.isEmpty() || counted.count { it in responders } * 2 > counted.size
    }
}
