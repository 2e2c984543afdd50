package io.poplarwood.fleet.membership

import io.poplarwood.api.id.EntryRef
import io.poplarwood.fleet.NodeContext
import io.poplarwood.fleet.message.Digest
import io.poplarwood.fleet.message.FleetMessage
import io.poplarwood.fleet.message.Peer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Failure detector: pings members and marks those as suspect that answer neither direct nor indirect pings. */
internal class Prober(
    private val ctx: NodeContext,
    private val table: MemberTable,
    private val digest: () -> Digest,
) {
    private val probes = LinkedHashMap<Long, Probe>()
    private val probeQueue = ArrayDeque<EntryRef>()
    private var nextAt = Duration.ZERO
    private var addresses: List<String> = ctx.settings.seeds
    private var nextAddressIndex = 0

    /** Sets the addresses of [entries] from the VM list, which are pinged in addition to the seeds. */
    fun updateAddresses(entries: List<String>) {
        addresses = (ctx.settings.seeds + entries).distinct()
    }

    fun tick(now: Duration) {
        expireProbes(now)
        if (now < nextAt) return
        nextAt = now + PERIOD
        repeat(FANOUT) {
            nextMember()?.let { member -> probes[ping(now, member.row.peer)]?.periodic = true }
        }
        table.present().filter { it.suspectedAt != null }.take(FANOUT).forEach { ping(now, it.row.peer) }
        pingUnknownAddresses(now)
    }

    /** Discards unanswered pings. After a pause of this process, missing answers are no evidence of a failure. */
    fun reset() = probes.clear()

    /** Pings [target]; [affectsState] is false when a missing answer must not make it suspect. Returns the nonce. */
    fun ping(now: Duration, target: Peer, affectsState: Boolean = true, onBehalfOf: Pair<Peer, Long>? = null): Long {
        val nonce = ctx.random.nextLong()
        probes[nonce] = Probe(target, now, onBehalfOf).also { it.affectsState = affectsState && onBehalfOf == null }
        ctx.send(target, FleetMessage.Ping(nonce, digest()))
        return nonce
    }

    /** Handles an ack from [from]. Returns the probe with [nonce]; null when there is none or another run answered. */
    fun onAck(from: Peer, nonce: Long): Probe? {
        val probe = probes.remove(nonce) ?: return null
        val target = probe.target
        if (target != null && target.ref != from.ref) {
            // Another run answers at the address, so the run that was pinged has ended.
            if (target.ref.id == from.ref.id) table[target.ref]?.let(table::markGone)
            return null
        }
        recordResult(probe, answered = true)
        probe.onBehalfOf?.let { (requester, requesterNonce) ->
            ctx.send(requester, FleetMessage.IndirectAck(requesterNonce, from.ref))
        }
        return probe
    }

    /** Handles an indirect ack, which counts like a direct one for failure detection but carries no digest. */
    fun onIndirectAck(nonce: Long, target: EntryRef) {
        val probe = probes[nonce] ?: return
        if (probe.target?.ref != target) return
        probes.remove(nonce)
        recordResult(probe, answered = true)
    }

    private fun expireProbes(now: Duration) {
        val entries = probes.entries.iterator()
        while (entries.hasNext()) {
            val (nonce, probe) = entries.next()
            val age = now - probe.sentAt
            if (age >= INDIRECT_TIMEOUT) {
                entries.remove()
                recordResult(probe, answered = false)
                val member = probe.target?.let { table[it.ref] }
                if (member != null && probe.affectsState) table.markSuspect(member)
            } else if (age >= DIRECT_TIMEOUT) {
                sendIndirectPings(nonce, probe)
            }
        }
    }

    private fun recordResult(probe: Probe, answered: Boolean) {
        val member = probe.target?.let { table[it.ref] }
        if (member == null || !probe.periodic) return
        member.probedAt = ctx.now
        member.probeAnswered = answered
    }

    private fun sendIndirectPings(nonce: Long, probe: Probe) {
        val target = probe.target ?: return
        if (probe.indirectSent || !probe.affectsState) return
        probe.indirectSent = true
        pickHelpers(target.ref).forEach { ctx.send(it, FleetMessage.IndirectPing(nonce, target)) }
    }

    private fun pickHelpers(target: EntryRef): List<Peer> =
        pickRandom(table.present().filter { it.row.ref != target && it.suspectedAt == null }, FANOUT)
            .map { it.row.peer }

    private fun nextMember(): Member? {
        repeat(2) {
            while (probeQueue.isNotEmpty()) {
                val member = table[probeQueue.removeFirst()]
                if (member != null && member.row.state != MemberState.GONE) return member
            }
            val present = table.present()
            probeQueue.addAll(pickRandom(present, present.size).map { it.row.ref })
        }
        return null
    }

    private fun pingUnknownAddresses(now: Duration) {
        val known = table.present().mapTo(HashSet()) { it.row.address }
        val unknown = addresses.filter { it != table.self.address && it !in known }
        if (unknown.isEmpty()) return
        val count = if (known.isEmpty()) FANOUT else 1
        repeat(minOf(count, unknown.size)) {
            val nonce = ctx.random.nextLong()
            probes[nonce] = Probe(null, now)
            ctx.send(unknown[nextAddressIndex++ % unknown.size], FleetMessage.Ping(nonce, digest()))
        }
    }

    private fun pickRandom(from: List<Member>, count: Int): List<Member> {
        val pool = from.toMutableList()
        return List(minOf(count, pool.size)) { pool.removeAt(ctx.random.nextInt(pool.size)) }
    }

    private companion object {
        val PERIOD = 1.seconds

        /** Members pinged per period, and members requested to ping one target indirectly. */
        const val FANOUT = 3
        val DIRECT_TIMEOUT = 500.milliseconds
        val INDIRECT_TIMEOUT = 1_500.milliseconds
    }
}
