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
    private var filler = 0
    var self: MemberRow = with(ctx.settings) { MemberRow(self, peerAddress, callerAddress, zone, revision = 1) }
        private set

    /** Rows of all others, the gone ones included. */
    val others: Collection<Member> get() = members.values

    operator fun get(ref: EntryRef): Member? = members[ref]

    /** Rows of others that are not gone. */
    fun present(): List<Member> = members.values.filter { it.row.state != MemberState.GONE }

    /** Gone runs that are known to have ended: they said so, or another run has their name. */
    fun ended(): Set<EntryRef> {
        val running = present().mapTo(HashSet()) { it.row.ref.id } + self.ref.id
        return members.values.filter { it.goneAt != null && (it.ended || it.row.ref.id in running) }
            .mapTo(HashSet()) { it.row.ref }
    }

    fun updateSelf(change: (MemberRow) -> MemberRow) {
        val next = change(self)
        if (next == self) return
        self = next.copy(revision = self.revision + 1)
        ctx.tell(FleetEvent.MembersChanged)
    }

    /** Continues under a new incarnation, since a gone one never returns. */
    fun rename(ref: EntryRef) {
        val old = self
        self = self.copy(ref = ref, revision = 1)
        members[old.ref] = Member(old.copy(state = MemberState.GONE)).also { it.goneAt = ctx.now }
    }

    /** Takes in one row of news. Returns true when the news says that this run itself is gone. */
    fun merge(row: MemberRow): Boolean {
        if (row.ref == self.ref) return contradict(row)
        val known = members[row.ref]
        when {
            known == null -> insert(row)
            known.row.state == MemberState.GONE -> Unit
            overrides(row, known.row) -> change(known, row)
        }
        return false
    }

    private fun contradict(row: MemberRow): Boolean {
        if (row.state == MemberState.GONE) return true
        if (row.state == MemberState.SUSPECT && row.revision >= self.revision) {
            self = self.copy(revision = row.revision + 1)
        }
        return false
    }

    private fun overrides(news: MemberRow, known: MemberRow): Boolean = when {
        news.state == MemberState.GONE -> true
        news.revision != known.revision -> news.revision > known.revision
        else -> news.state == MemberState.SUSPECT && known.state != MemberState.SUSPECT
    }

    private fun insert(row: MemberRow) {
        if (members.size >= MAX_MEMBERS) return
        val member = Member(row)
        members[row.ref] = member
        stamp(member)
        ctx.tell(FleetEvent.MembersChanged)
    }

    private fun change(member: Member, row: MemberRow) {
        member.row = row
        member.sent = 0
        stamp(member)
        ctx.tell(FleetEvent.MembersChanged)
    }

    private fun stamp(member: Member) {
        member.suspectedAt = if (member.row.state == MemberState.SUSPECT) ctx.now else null
        member.goneAt = if (member.row.state == MemberState.GONE) ctx.now else null
    }

    fun suspect(member: Member) {
        if (member.row.state == MemberState.GONE || member.row.state == MemberState.SUSPECT) return
        change(member, member.row.copy(state = MemberState.SUSPECT))
    }

    /** The member itself answered while it was suspect here: [row] is its own, as it sees it now. */
    fun refuted(member: Member, row: MemberRow) {
        if (member.row.state != MemberState.SUSPECT || row.state == MemberState.GONE) return
        change(member, row.copy(revision = maxOf(row.revision, member.row.revision)))
    }

    fun gone(member: Member) {
        if (member.row.state == MemberState.GONE) return
        change(member, member.row.copy(state = MemberState.GONE))
    }

    /** Restarts the time that every suspect has to answer: after a pause, silence is no evidence. */
    fun restartSuspicions(now: Duration) {
        members.values.forEach { if (it.suspectedAt != null) it.suspectedAt = now }
    }

    /** Ends suspicions that were not refuted and forgets incarnations that have been gone for long. */
    fun tick(now: Duration) {
        if (hearsMost(now)) {
            members.values.filter { m -> m.suspectedAt?.let { now - it >= SUSPECT_FOR } == true }.forEach(::gone)
        } else {
            restartSuspicions(now)
        }
        members.values.removeAll { m -> m.goneAt?.let { now - it >= KEEP_GONE } == true }
    }

    /**
     * True when most of the pings in turn were answered lately. Otherwise this entry is more likely to be cut off than
     * the others are to be gone, and as gone is final, it must not say so.
     */
    private fun hearsMost(now: Duration): Boolean {
        val recent = members.values.filter { m ->
            m.row.state != MemberState.GONE && m.probedAt?.let { now - it <= EVIDENCE_FOR } == true
        }
        val answered = recent.count { it.answered }
        return answered + 1 > recent.size - answered
    }

    /** Rows to send with the next ping: those that changed last, then a few in turn so that every loss is made up. */
    fun digestRows(): List<MemberRow> {
        val limit = sendLimit()
        val news = members.values.filter { it.sent < limit }.sortedBy { it.sent }.take(Digest.MAX_ROWS)
        news.forEach { it.sent++ }
        if (news.size >= FILLER || members.isEmpty()) return news.map { it.row }
        val all = members.values.toList()
        val turn = List(minOf(FILLER, all.size)) { all[(filler + it) % all.size] }
        filler = (filler + FILLER) % all.size
        return (news + turn).distinct().map { it.row }
    }

    private fun sendLimit(): Int {
        val bits = Int.SIZE_BITS - (members.size + 1).countLeadingZeroBits()
        return SENDS_PER_BIT * bits
    }

    private companion object {
        /** Time in which a suspect may refute its suspicion. */
        val SUSPECT_FOR = 5.seconds

        /** Age up to which the outcome of a ping counts. */
        val EVIDENCE_FOR = 6.seconds

        /** A gone row outlives all old news about it: no message is under way for this long. */
        val KEEP_GONE = 60.minutes
        const val MAX_MEMBERS = 4_096
        const val SENDS_PER_BIT = 3
        const val FILLER = 4
    }
}
