package io.poplarwood.bench.restores

import io.poplarwood.api.time.Ticker
import io.poplarwood.bench.configurations.nowNs
import io.poplarwood.platform.standin.Reaction
import io.poplarwood.platform.standin.StandInCell
import io.poplarwood.platform.standin.StandInUpstream
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Upstreams that announce that they are draining, and go on serving what they get. */
internal class LeavingUpstreams(private val cell: StandInCell, private val ticker: Ticker) {
    private val waiting = ArrayDeque<StandInUpstream>()
    private val announcedNs = ConcurrentHashMap<String, Long>()
    private val late = AtomicInteger()

    /** Requests that draining upstreams got later than the bound after the store had their announcement. */
    val lateRequests: Int get() = late.get()

    /** Starts [count] upstreams of [service] that will leave. */
    fun start(count: Int, service: String) = repeat(count) { number ->
        val id = "leaving-$number"
        waiting += cell.startUpstream(id, service) {
            val since = announcedNs[id]?.let { announced -> ticker.nowNs - announced } ?: 0
            if (since > DRAIN_BOUND_NS) late.incrementAndGet()
            Reaction.reply(it, body = service)
        }
    }

    /** Lets one upstream announce that it is draining; returns false when none is left. */
    fun leave(): Boolean {
        val upstream = waiting.removeFirstOrNull() ?: return false
        announce(upstream)
        announcedNs[upstream.id] = ticker.nowNs
        return true
    }

    private fun announce(upstream: StandInUpstream) =
        cell.store.put("servers", upstream.id, upstream.registration(state = "draining"))

    private companion object {
        /** `drain-s` of the settings in a [StandInCell]. */
        const val DRAIN_BOUND_NS = 2_000_000_000L
    }
}
