package io.poplarwood.fleet.membership

import io.poplarwood.api.id.EntryRef
import io.poplarwood.fleet.FleetEvent
import io.poplarwood.fleet.NodeContext
import io.poplarwood.fleet.message.Digest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** All members that this entry knows, with the rules by which news changes them. */
internal class MemberTable(private val ctx: NodeContext) {
    private val members = LinkedHashMap<EntryRef, Member>()
    private var rotationIndex = 0
    var self: MemberRow = with(ctx.settings) { MemberRow(self, peerAddress, callerAddress, zone, revision = 1) }
        private set

    /** Rows of all others, the gone ones included. */
    val others: Collection<Member> get() = members.values

    operator fun get(ref: EntryRef): Member? = members[ref]

    /** Rows of others that are not gone. */
    fun present(): List<Member> = members.values.filter { it.row.state != MemberState.GONE }

    /** Gone runs that are known to have ended: they said so, or another run has their name. */
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

    /** Continues under a new incarnation, since a gone one never returns. */
    fun adoptIncarnation(ref: EntryRef) {
        val old = self
        self = self.copy(ref = ref, revision = 1)
        members[old.ref] = Member(old.copy(state = MemberState.GONE)).also { it.goneAt = ctx.now }
    }

    /** Takes in one row of news. Returns true when the news says that this run itself is gone. */
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

    /** The member itself answered while it was suspect here: [row] is its own, as it sees it now. */
    fun clearSuspicion(member: Member, row: MemberRow) {
        if (member.row.state != MemberState.SUSPECT || row.state == MemberState.GONE) return
        replaceRow(member, row.copy(revision = maxOf(row.revision, member.row.revision)))
    }

    fun markGone(member: Member) {
        if (member.row.state == MemberState.GONE) return
        replaceRow(member, member.row.copy(state = MemberState.GONE))
    }

    /** Restarts the time that every suspect has to answer: after a pause, silence is no evidence. */
    fun restartSuspectTimers(now: Duration) {
        members.values.forEach { if (it.suspectedAt != null) it.suspectedAt = now }
    }

    /** Ends suspicions that were not refuted and forgets incarnations that have been gone for long. */
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
     * True when most of the pings in turn were answered lately. Otherwise this entry is more likely to be cut off than
     * the others are to be gone, and as gone is final, it must not say so.
     */
    private fun mostProbesAnswered(now: Duration): Boolean {
        val recent = members.values.filter { m ->
            m.row.state != MemberState.GONE && m.probedAt?.let { now - it <= PROBE_RESULT_VALIDITY } == true
        }
        val answered = recent.count { it.probeAnswered }
        return answered + 1 > recent.size - answered
    }

    /** Rows to send with the next ping: those that changed last, then a few in turn so that every loss is made up. */
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
        /** Time in which a suspect may refute its suspicion. */
        val SUSPECT_TIMEOUT = 5.seconds

        /** Age up to which the outcome of a ping counts. */
        val PROBE_RESULT_VALIDITY = 6.seconds

        /** A gone row outlives all old news about it: no message is under way for this long. */
        val GONE_RETENTION = 60.minutes
        const val MAX_MEMBERS = 4_096
        const val SENDS_PER_BIT = 3
        const val ROTATING_ROWS = 4
    }
}
