package io.poplarwood.entry.node

import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.EntryRef
import io.poplarwood.decision.crash.EntryPosition
import io.poplarwood.fleet.membership.MemberRow
import io.poplarwood.fleet.membership.MemberState
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList

/** Membership as of the last fleet event, for threads that do not hold the fleet's lock. */
class MembershipView {
    @Volatile
    private var members: ImmutableList<MemberRow> = persistentListOf()

    /** All members that have not been removed, this entry included. */
    val all: ImmutableList<MemberRow> get() = members

    /** Incarnations that take part in slot leases. A draining entry hands its upstreams over to others. */
    val leaseParticipants: ImmutableList<EntryRef>
        get() = members.filter { it.state == MemberState.LIVE || it.state == MemberState.SUSPECT }
            .map { it.ref }
            .toImmutableList()

    /** `ip:port` of the peer listener of [ref]; null when [ref] is not a member. */
    fun addressOf(ref: EntryRef): String? = members.firstOrNull { it.ref == ref }?.address

    /** Position of the entry [id] among all members, in the order of their identifiers. */
    fun positionOf(id: EntryId): EntryPosition {
        val names = members.map { it.ref.id }.distinct().sorted()
        return EntryPosition(names.indexOf(id).coerceAtLeast(0), names.size.coerceAtLeast(1))
    }

    fun replace(members: List<MemberRow>) {
        this.members = members.toImmutableList()
    }
}
