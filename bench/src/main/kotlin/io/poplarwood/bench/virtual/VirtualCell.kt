package io.poplarwood.bench.virtual

import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.Incarnation
import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.SplitMix
import io.poplarwood.decision.routing.LeaseMessage
import io.poplarwood.decision.routing.Router
import io.poplarwood.decision.routing.UpstreamState
import io.poplarwood.decision.routing.UpstreamView
import kotlinx.collections.immutable.toImmutableList

/**
 * Entries with real routers and fake upstreams, spread evenly over the zones, in one event loop.
 *
 * @param router builds the router of an entry; the last argument sends a message to a peer
 */
class VirtualCell(
    private val settings: VirtualCellSettings,
    router: (VirtualCell, EntryRef, Zone, (EntryRef, LeaseMessage) -> Unit) -> Router,
) {
    /** Clock of the cell. */
    val loop: EventLoop = EventLoop()

    /** The upstreams, in the order of their numbers. */
    val upstreams: List<FakeUpstream> = List(settings.upstreams) { n ->
        val id = UpstreamId("10.0.1.$n:8080", "u$n")
        val view = UpstreamView(id, zone(n), settings.slots, settings.connectionLimit, UpstreamState.LIVE)
        val random = SplitMix(settings.seed * SEED_STRIDE + n)
        FakeUpstream(loop, view, settings.times, random, settings.whenFull, settings.shedCost)
    }

    /** Connects entries and upstreams. */
    val network: FakeNetwork = FakeNetwork(loop, upstreams, settings.betweenZones, settings.withinZone)

    private val random = SplitMix(settings.seed)
    private val refs = List(settings.entries) { EntryRef(EntryId("entry-$it"), Incarnation(1, it.toLong())) }
    private val zoneOf = refs.withIndex().associate { (n, ref) -> ref to zone(n) }

    /** Connects the entries. */
    val mesh: PeerMesh = PeerMesh(loop) { a, b -> network.oneWay(zoneOf.getValue(a), zoneOf.getValue(b)) }

    /** The entries, in the order of their numbers. */
    val entries: List<VirtualEntry> = refs.mapIndexed { n, ref ->
        VirtualEntry(loop, ref, zone(n), router(this, ref, zone(n)) { to, m -> mesh.send(ref, to, m) }, network, random)
    }

    init {
        val views = upstreams.map { it.view }.toImmutableList()
        for (e in entries) {
            mesh.join(e.self, e::receive)
            e.router.updateEntries(refs.toImmutableList())
            e.router.updateUpstreams(views)
        }
    }

    private fun zone(n: Int) = Zone("z${n % settings.zones}")

    private companion object {
        const val SEED_STRIDE = 1_000_003L
    }
}
