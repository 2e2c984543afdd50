package io.poplarwood.fleet.config

import io.poplarwood.api.id.EntryRef
import kotlinx.serialization.Serializable

/**
 * The agreed view: the runs of entries that form quorums, by which the sequence is confirmed while the store is down.
 *
 * A transaction of the change log replaces the view, and only after a majority of [previous] and of [members] has the
 * current view in force. Any two majorities in use therefore have a member in common.
 */
@Serializable
data class FleetView(val version: Long, val members: List<EntryRef>, val previous: List<EntryRef> = emptyList()) {
    /**
     * True when [responders] contains a majority of the members and, unless there were none, of the previous members.
     *
     * Runs in [ended] are excluded from the count: no state can be requested from them any more, and every majority
     * that can still answer consists of the other runs. Only decisions that the store has already made may exclude
     * them. A reading of the head without the store must not, because an ended run may have been the only one that knew
     * of a change.
     */
    fun hasMajority(responders: Set<EntryRef>, ended: Set<EntryRef> = emptySet()): Boolean =
        coversMajority(members, responders, ended) &&
            (previous.isEmpty() || coversMajority(previous, responders, ended))

    private fun coversMajority(group: List<EntryRef>, responders: Set<EntryRef>, ended: Set<EntryRef>): Boolean {
        val counted = group.filter { it !in ended }
        return counted.isEmpty() || counted.count { it in responders } * 2 > counted.size
    }
}
