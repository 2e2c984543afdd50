package io.poplarwood.decision.routing

import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.Incarnation
import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.SplitMix
import io.poplarwood.api.work.Rank
import kotlinx.collections.immutable.toImmutableList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds

/** Several routers with a common clock and links without delay. */
internal class RouterCell(
    entries: Int,
    upstreams: Int,
    val slots: Int = 3,
    seed: Long = 1,
    settings: RouterSettings = RouterSettings(Zone("z")),
) {
    var now: Duration = 1.milliseconds
        private set
    val refs = List(entries) { EntryRef(EntryId("e$it"), Incarnation(1, it.toLong())) }
    val ids = List(upstreams) { UpstreamId("10.0.0.$it:80", "u") }
    val stopped = HashSet<EntryRef>()
    private val messages = ArrayDeque<Triple<EntryRef, EntryRef, LeaseMessage>>()
    val routers = refs.map { self ->
        SlotRouter(self, settings, { now }, SplitMix(seed + self.hashCode())) { to, m ->
            messages += Triple(self, to, m)
        }
    }

    init {
        for (r in routers) {
            r.updateEntries(refs.toImmutableList())
            r.updateUpstreams(views(ids))
        }
    }

    fun views(of: List<UpstreamId>, state: UpstreamState = UpstreamState.LIVE) =
        of.map { UpstreamView(it, Zone("z"), slots, 250, state) }.toImmutableList()

    /** Advances the clock by [length] in ticks of 10 ms. */
    fun advance(length: Duration) {
        val end = now + length
        while (now < end) {
            now += 10.milliseconds
            for ((i, r) in routers.withIndex()) if (refs[i] !in stopped) r.tick()
            deliver()
        }
    }

    /** Delivers all messages. */
    fun deliver() {
        while (true) {
            val (from, to, message) = messages.removeFirstOrNull() ?: return
            if (to !in stopped) routers[refs.indexOf(to)].receive(from, message)
        }
    }

    /** Number of leases of [upstream] that the running entries hold together. */
    fun held(upstream: UpstreamId): Int = routers.filterIndexed { i, _ -> refs[i] !in stopped }
        .sumOf { r -> r.snapshot().first { it.id == upstream }.limit }

    fun state(router: Int, upstream: UpstreamId) = routers[router].snapshot().first { it.id == upstream }.state
}

internal fun Router.reserveSlot(rank: Rank = Rank.URGENT) = reserve(RouteRequest(rank)) as? Reservation.Granted

internal fun Router.endAttempt(
    granted: Reservation.Granted,
    result: AttemptResult,
    latency: Duration = 10.milliseconds,
) =
    release(granted.slot, AttemptObservation(result, if (result == AttemptResult.BUSY) ZERO else latency))
