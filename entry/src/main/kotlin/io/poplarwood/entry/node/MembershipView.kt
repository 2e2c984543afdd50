package io.poplarwood.entry.node

import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.EntryRef
import io.poplarwood.decision.crash.EntryPosition
import io.poplarwood.fleet.membership.MemberRow
import io.poplarwood.fleet.membership.MemberState
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList

/** The members as the last event left them, for threads that do not hold the fleet's lock. */
class MembershipView {
    @Volatile
    private var members: ImmutableList<MemberRow> = persistentListOf()

    /** All that are not gone, this entry included. */
    val all: ImmutableList<MemberRow> get() = members

    /** Runs that take part in slot leases. A leaving entry hands its upstreams to others. */
    val leaseParticipants: ImmutableList<EntryRef>
        get() = members.filter { it.state == MemberState.LIVE || it.state == MemberState.SUSPECT }
            .map { it.ref }
            .toImmutableList()

    /** Peer listener of [ref], or null when it is not a member. */
    fun addressOf(ref: EntryRef): String? = members.firstOrNull { it.ref == ref }?.address

    /** Place of the entry called [id] among all, in the order of their names. */
    fun positionOf(id: EntryId): EntryPosition {
        val names = members.map { it.ref.id }.distinct().sorted()
        return EntryPosition(names.indexOf(id).coerceAtLeast(0), names.size.coerceAtLeast(1))
    }

    /** Replaces the rows. */
    fun replace(members: List<MemberRow>) {
        this.members = members.toImmutableList()
    }
}
