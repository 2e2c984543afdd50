package io.poplarwood.bench.virtual

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.RandomSource
import io.poplarwood.api.work.Rank
import io.poplarwood.decision.routing.AttemptObservation
import io.poplarwood.decision.routing.AttemptResult
import io.poplarwood.decision.routing.LeaseMessage
import io.poplarwood.decision.routing.Reservation
import io.poplarwood.decision.routing.RouteRequest
import io.poplarwood.decision.routing.Router
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * One entry around a real [router]: a queue per rank, urgent first, and immediate retries of shed and failed attempts.
 *
 * @property self name that peers know the entry by
 */
class VirtualEntry(
    private val loop: EventLoop,
    val self: EntryRef,
    private val zone: Zone,
    val router: Router,
    private val network: FakeNetwork,
    private val random: RandomSource,
) {
    private class Waiting(val rank: Rank, val arrived: Duration, val outcomes: Outcomes?) {
        var tried: List<UpstreamId> = emptyList()
        var errors = 0
        var sheds = 0
    }

    private val queues = Rank.entries.map { ArrayDeque<Waiting>() }
    private val counts = IntArray(Rank.entries.size)

    /** Whether the entry works; a stopped one neither ticks nor receives. */
    var running: Boolean = true

    init {
        loop.every(TICK) { tick() }
    }

    /** Takes a request of [rank] that arrives now; it is counted in [outcomes] when that is given. */
    fun offer(rank: Rank, outcomes: Outcomes?) {
        if (outcomes != null) outcomes.requests++
        queues[rank.ordinal].addLast(Waiting(rank, loop.now(), outcomes))
        pump()
    }

    /** Takes a message of [from]. */
    fun receive(from: EntryRef, message: LeaseMessage) {
        if (!running) return
        router.receive(from, message)
        pump()
    }

    /** Requests that wait for a slot. */
    fun waiting(): Int = queues.sumOf { it.size }

    private fun tick(): Boolean {
        if (!running) return false
        router.tick()
        pump()
        return true
    }

    private fun pump() {
        tellBacklog()
        for (queue in queues) {
            while (queue.isNotEmpty()) {
                val next = queue.first()
                if (loop.now() - next.arrived > DEADLINE) {
                    queue.removeFirst()
                    gaveUp(next)
                    continue
                }
                val granted = router.reserve(RouteRequest(next.rank, next.tried)) as? Reservation.Granted ?: break
                queue.removeFirst()
                send(next, granted)
            }
        }
        tellBacklog()
    }

    private fun tellBacklog() {
        var changed = false
        for (i in counts.indices) {
            changed = changed || counts[i] != queues[i].size
            counts[i] = queues[i].size
        }
        if (changed) router.updateBacklog(counts)
    }

    private fun send(call: Waiting, granted: Reservation.Granted) {
        call.outcomes?.let { it.attempts++ }
        network.request(zone, granted.upstream) { evidence ->
            if (running) {
                router.release(granted.slot, evidence)
                ended(call, granted.upstream, evidence)
                pump()
            }
        }
    }

    private fun ended(call: Waiting, upstream: UpstreamId, evidence: AttemptObservation) {
        val outcomes = call.outcomes
        when (evidence.result) {
            AttemptResult.ANSWERED -> outcomes?.answered(call.rank, loop.now() - call.arrived)
            AttemptResult.BUSY, AttemptResult.DRAINING -> {
                if (outcomes != null) outcomes.sheds++
                call.tried = (call.tried + upstream).takeLast(REMEMBERED)
                if (++call.sheds <= AT_ONCE) queues[call.rank.ordinal].addFirst(call) else backOff(call)
            }
            else -> if (++call.errors <= MOST_ERROR_RETRIES) {
                call.tried = (call.tried + upstream).takeLast(REMEMBERED)
                queues[call.rank.ordinal].addFirst(call)
            } else if (outcomes != null) {
                outcomes.failed++
            }
        }
    }

    private fun gaveUp(call: Waiting) {
        val outcomes = call.outcomes ?: return
        outcomes.timedOut(call.rank, DEADLINE)
    }

    private fun backOff(call: Waiting) {
        val doublings = (call.sheds - AT_ONCE - 1).coerceAtMost(MOST_DOUBLINGS)
        loop.after(FIRST_BACKOFF * (1 shl doublings) * (0.5 + random.nextDouble())) {
            queues[call.rank.ordinal].addFirst(call)
            pump()
        }
    }

    private companion object {
        val TICK = 10.milliseconds

        /** One retry after an error, as an idempotent request gets from the dispatcher. */
        const val MOST_ERROR_RETRIES = 1

        /** Retries after sheds that are sent at once; later ones back off, lest full upstreams drown in attempts. */
        const val AT_ONCE = 3
        val FIRST_BACKOFF = 1.milliseconds
        const val MOST_DOUBLINGS = 7

        /** Time after which a waiting request ends; it counts as failed and with this latency. */
        val DEADLINE = 2.seconds

        /** Tried upstreams to avoid; remembering all would leave none to try. */
        const val REMEMBERED = 4
    }
}
