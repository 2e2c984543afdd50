package io.poplarwood.fleet.membership

import io.poplarwood.api.id.EntryRef
import io.poplarwood.fleet.FleetEvent
import io.poplarwood.fleet.NodeContext
import io.poplarwood.fleet.message.Digest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** All members known to this entry, with the rules for merging updates about them. */
internal class MemberTable(private val ctx: NodeContext) {
    private val members = LinkedHashMap<EntryRef, Member>()
    private var rotationIndex = 0
    var self: MemberRow = with(ctx.settings) { MemberRow(self, peerAddress, callerAddress, zone, revision = 1) }
        private set

    /** All other members, including those in state [MemberState.GONE]. */
    val others: Collection<Member> get() = members.values

    operator fun get(ref: EntryRef): Member? = members[ref]

    /** Other members that are not in state [MemberState.GONE]. */
    fun present(): List<Member> = members.values.filter { it.row.state != MemberState.GONE }

    /**
     * Runs in state [MemberState.GONE] that are known to have ended, because the run announced its end or because
     * another run of the same entry is present.
     */
    fun endedRuns(): Set<EntryRef> {
        val running = present().mapTo(HashSet()) { it.row.ref.id } + self.ref.id
        return members.values.filter { it.goneAt != null && (it.ended || it.row.ref.id in running) }
            .mapTo(HashSet()) { it.row.ref }
    }

    fun updateSelf(change: (MemberRow) -> MemberRow) {
        val next = change(self)
        if (next == self) return
        self = next.copy(revision = self.revision + 1)
        ctx.emit(FleetEvent.MembersChanged)
    }

    /** Continues under the new incarnation [ref]; the former one is marked as gone, which is final. */
    fun adoptIncarnation(ref: EntryRef) {
        val old = self
        self = self.copy(ref = ref, revision = 1)
        members[old.ref] = Member(old.copy(state = MemberState.GONE)).also { it.goneAt = ctx.now }
    }

    /** Merges a row received from a peer. Returns true when the row states that this run itself is gone. */
    fun merge(row: MemberRow): Boolean {
        if (row.ref == self.ref) return mergeSelf(row)
        val known = members[row.ref]
        when {
            known == null -> insert(row)
            known.row.state == MemberState.GONE -> Unit
            supersedes(row, known.row) -> replaceRow(known, row)
        }
        return false
    }

    /** Refutes a suspicion about this run by a higher revision. Returns true when [row] states that the run is gone. */
    private fun mergeSelf(row: MemberRow): Boolean {
        if (row.state == MemberState.GONE) return true
        if (row.state == MemberState.SUSPECT && row.revision >= self.revision) {
            self = self.copy(revision = row.revision + 1)
        }
        return false
    }

    private fun supersedes(update: MemberRow, known: MemberRow): Boolean = when {
        update.state == MemberState.GONE -> true
        update.revision != known.revision -> update.revision > known.revision
        else -> update.state == MemberState.SUSPECT && known.state != MemberState.SUSPECT
    }

    private fun insert(row: MemberRow) {
        if (members.size >= MAX_MEMBERS) return
        val member = Member(row)
        members[row.ref] = member
        recordStateTime(member)
        ctx.emit(FleetEvent.MembersChanged)
    }

    private fun replaceRow(member: Member, row: MemberRow) {
        member.row = row
        member.timesSent = 0
        recordStateTime(member)
        ctx.emit(FleetEvent.MembersChanged)
    }

    private fun recordStateTime(member: Member) {
        member.suspectedAt = if (member.row.state == MemberState.SUSPECT) ctx.now else null
        member.goneAt = if (member.row.state == MemberState.GONE) ctx.now else null
    }

    fun markSuspect(member: Member) {
        if (member.row.state == MemberState.GONE || member.row.state == MemberState.SUSPECT) return
        replaceRow(member, member.row.copy(state = MemberState.SUSPECT))
    }

    /** Ends the suspicion of [member], which has itself sent its current [row]. */
    fun clearSuspicion(member: Member, row: MemberRow) {
        if (member.row.state != MemberState.SUSPECT || row.state == MemberState.GONE) return
        replaceRow(member, row.copy(revision = maxOf(row.revision, member.row.revision)))
    }

    fun markGone(member: Member) {
        if (member.row.state == MemberState.GONE) return
        replaceRow(member, member.row.copy(state = MemberState.GONE))
    }

    /**
     * Restarts the timeout of every suspect. After a pause of this process, missing answers are no evidence of a
     * failure.
     */
    fun restartSuspectTimers(now: Duration) {
        members.values.forEach { if (it.suspectedAt != null) it.suspectedAt = now }
    }

    /** Marks suspects as gone when their timeout has passed, and removes rows after [GONE_RETENTION]. */
    fun tick(now: Duration) {
        if (mostProbesAnswered(now)) {
            members.values.filter { m -> m.suspectedAt?.let { now - it >= SUSPECT_TIMEOUT } == true }
                .forEach(::markGone)
        } else {
            restartSuspectTimers(now)
        }
        members.values.removeAll { m -> m.goneAt?.let { now - it >= GONE_RETENTION } == true }
    }

    /**
     * True when most of the recent periodic pings were answered. Otherwise this entry itself is probably cut off from
     * the network, and it must not declare other members gone, since that state is final.
     */
    private fun mostProbesAnswered(now: Duration): Boolean {
        val recent = members.values.filter { m ->
            m.row.state != MemberState.GONE && m.probedAt?.let { now - it <= PROBE_RESULT_VALIDITY } == true
        }
        val answered = recent.count { it.probeAnswered }
        return answered + 1 > recent.size - answered
    }

    /**
     * Rows for the next digest: recently changed rows and, when there are fewer than [ROTATING_ROWS] of these, also
     * [ROTATING_ROWS] of all rows in rotation, so that lost updates are repaired.
     */
    fun digestRows(): List<MemberRow> {
        val limit = sendLimit()
        val updates = members.values.filter { it.timesSent < limit }.sortedBy { it.timesSent }.take(Digest.MAX_ROWS)
        updates.forEach { it.timesSent++ }
        if (updates.size >= ROTATING_ROWS || members.isEmpty()) return updates.map { it.row }
        val all = members.values.toList()
        val rotating = List(minOf(ROTATING_ROWS, all.size)) { all[(rotationIndex + it) % all.size] }
        rotationIndex = (rotationIndex + ROTATING_ROWS) % all.size
        return (updates + rotating).distinct().map { it.row }
    }

    private fun sendLimit(): Int {
        val bits = Int.SIZE_BITS - (members.size + 1).countLeadingZeroBits()
        return SENDS_PER_BIT * bits
    }

    private companion object {
        /** Time that a suspect has to refute the suspicion before it is marked as gone. */
        val SUSPECT_TIMEOUT = 5.seconds

        /** Age up to which the result of a periodic ping counts in [mostProbesAnswered]. */
        val PROBE_RESULT_VALIDITY = 6.seconds

        /** Retention of gone rows; longer than any message about the run can be in transit. */
        val GONE_RETENTION = 60.minutes
        const val MAX_MEMBERS = 4_096

        /** Digests that carry a changed row, per bit of the number of members. */
        const val SENDS_PER_BIT = 3
        const val ROTATING_ROWS = 4
    }
}
