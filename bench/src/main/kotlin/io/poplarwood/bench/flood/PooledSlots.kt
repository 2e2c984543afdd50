package io.poplarwood.bench.flood

import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.work.Rank
import io.poplarwood.bench.virtual.EventLoop
import io.poplarwood.decision.routing.SlotId
import io.poplarwood.decision.routing.UpstreamView
import kotlin.time.Duration

/** The free slots and the waiting calls of a service as all entries together see them, without delay. */
class PooledSlots(private val loop: EventLoop, val views: List<UpstreamView>) {
    private class Member(val wake: () -> Unit) {
        val waiting = IntArray(Rank.entries.size)
        var inUse = 0
    }

    private val members = ArrayList<Member>()
    private val inFlight = HashMap<UpstreamId, Int>()
    private val taken = HashMap<SlotId, Pair<Member, UpstreamId>>()
    private var next = 0L
    private var waking = false

    /** Adds an entry that [wake] makes give out slots; returns its number. */
    fun join(wake: () -> Unit): Int {
        members += Member(wake)
        return members.lastIndex
    }

    /** Requests of all entries in flight at [id]. */
    fun load(id: UpstreamId): Int = inFlight[id] ?: 0

    /** Takes a slot at the least loaded upstream; null when all are full or another entry's calls go first. */
    fun take(member: Int, rank: Rank, tried: List<UpstreamId>): Pair<SlotId, UpstreamId>? {
        val free = views.filter { load(it.id) < it.slots }
        if (free.isEmpty() || othersFirst(member, rank)) return null
        val pick = free.filter { it.id !in tried }.ifEmpty { free }.minBy { load(it.id) }
        inFlight[pick.id] = load(pick.id) + 1
        val slot = SlotId(next++)
        taken[slot] = members[member] to pick.id
        members[member].inUse++
        return slot to pick.id
    }

    /** Frees [slot] and returns its upstream. */
    fun free(slot: SlotId): UpstreamId {
        val (member, id) = checkNotNull(taken.remove(slot)) { "slot freed twice" }
        member.inUse--
        inFlight[id] = load(id) - 1
        wakeLater()
        return id
    }

    /** Notes how many calls of each rank wait at [member]. */
    fun updateBacklog(member: Int, waiting: IntArray) {
        waiting.copyInto(members[member].waiting)
    }

    /** True when another entry has calls of a higher rank, or of the same and fewer slots. */
    private fun othersFirst(member: Int, rank: Rank): Boolean {
        val own = members[member]
        return members.any { m ->
            val higher = (0 until rank.ordinal).any { m.waiting[it] > 0 }
            m !== own && (higher || (m.waiting[rank.ordinal] > 0 && m.inUse < own.inUse))
        }
    }

    private fun wakeLater() {
        if (waking) return
        waking = true
        loop.after(Duration.ZERO) {
            waking = false
            members.filter { m -> m.waiting.any { it > 0 } }.sortedWith(BY_NEED).forEach { it.wake() }
        }
    }

    private companion object {
        val BY_NEED = compareBy<Member> { m -> m.waiting.indexOfFirst { it > 0 } }
            .thenBy { it.inUse }
    }
}
