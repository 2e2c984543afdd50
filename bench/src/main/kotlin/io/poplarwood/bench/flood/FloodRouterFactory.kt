package io.poplarwood.bench.flood

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.RandomSource
import io.poplarwood.bench.virtual.EventLoop
import io.poplarwood.decision.routing.LeaseMessage
import io.poplarwood.decision.routing.Router
import io.poplarwood.decision.routing.RouterSettings
import io.poplarwood.decision.routing.SlotRouter
import io.poplarwood.decision.routing.UpstreamView

/** Builds the routers of the entries of one [FloodCell]. */
fun interface FloodRouterFactory {
    /** The router of the entry in [site]. */
    fun create(site: Site): Router

    /**
     * What the router of one entry is built from.
     *
     * @property wake makes the entry give out slots
     * @property send sends a message to a peer
     */
    class Site(
        val self: EntryRef,
        val zone: Zone,
        val upstreams: List<UpstreamView>,
        val loop: EventLoop,
        val random: RandomSource,
        val wake: () -> Unit,
        val send: (EntryRef, LeaseMessage) -> Unit,
    )

    companion object {
        /** The shipped router. */
        fun shipped(): FloodRouterFactory = FloodRouterFactory { site ->
            SlotRouter(site.self, RouterSettings(site.zone), site.loop, site.random, site.send)
        }

        /** Routers that see the load of all entries at once. */
        fun pooled(): FloodRouterFactory {
            var pool: PooledSlots? = null
            return FloodRouterFactory { site ->
                PooledRouter(pool ?: PooledSlots(site.loop, site.upstreams).also { pool = it }, site.wake)
            }
        }
    }
}
