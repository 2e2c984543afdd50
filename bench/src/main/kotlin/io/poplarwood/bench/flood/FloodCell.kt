package io.poplarwood.bench.flood

import io.poplarwood.api.id.ClassName
import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.Incarnation
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.RandomSource
import io.poplarwood.api.random.SplitMix
import io.poplarwood.api.work.ServiceDocument
import io.poplarwood.bench.virtual.EventLoop
import io.poplarwood.bench.virtual.FakeNetwork
import io.poplarwood.bench.virtual.FakeUpstream
import io.poplarwood.bench.virtual.PeerMesh
import io.poplarwood.decision.dispatch.ServiceDispatcher
import io.poplarwood.decision.explain.ExplainLog
import io.poplarwood.decision.routing.UpstreamState
import io.poplarwood.decision.routing.UpstreamView
import kotlinx.collections.immutable.toImmutableList
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Entries with real dispatchers and fake upstreams in one event loop, under the arrivals of [classes]. */
class FloodCell(
    private val settings: FloodSettings,
    val classes: List<FloodClass>,
    router: FloodRouterFactory,
) {
    private val loop = EventLoop()
    private val arrivals = SplitMix(settings.seed)
    private val refs = List(settings.entries) { EntryRef(EntryId("entry-$it"), Incarnation(1, it.toLong())) }
    private val upstreams = List(settings.upstreams) { n ->
        val id = UpstreamId("10.0.1.$n:8080", "u$n")
        val view = UpstreamView(id, zone(n), settings.slots, CONNECTIONS, UpstreamState.LIVE)
        FakeUpstream(loop, view, settings.times, random(n + 1), shedCost = SHED_COST)
    }
    private val views = upstreams.map { it.view }.toImmutableList()
    private val network = FakeNetwork(loop, upstreams, settings.betweenZones)
    private val mesh = PeerMesh(loop) { a, b -> network.oneWay(zone(refs.indexOf(a)), zone(refs.indexOf(b))) }
    private val document =
        ServiceDocument(ServiceName("counter"), classes.map { it.spec }, classes.first().spec.name)
    private val entries: List<FloodEntry> = refs.mapIndexed { n, ref -> entry(n, ref, router) }

    /** Results by class, for calls that arrive after the warm-up. */
    val tallies: Map<ClassName, ClassTally> = classes.associate { it.spec.name to ClassTally() }

    /** Requests that upstreams shed since the start. */
    val sheds: Long get() = upstreams.sumOf { it.sheds }

    /** Slot time of the whole service in the measured part, in seconds. */
    val capacitySeconds: Double
        get() = settings.upstreams * settings.slots * settings.measured.toDouble(DurationUnit.SECONDS)

    /** Runs warm-up and measured part and lets the last calls end. */
    fun run() {
        for (e in entries) {
            e.dispatcher.updateEntries(refs.toImmutableList())
            e.dispatcher.updateUpstreams(views)
            loop.every(TICK) {
                e.dispatcher.tick()
                true
            }
        }
        for (c in classes) if (c.load > 0) arrive(c)
        loop.runUntil(settings.warmUp + settings.measured + settings.warmUp)
    }

    /** Calls keep coming after the measured part, so that the last measured ones end under the same load. */
    private fun arrive(c: FloodClass) {
        val slotSeconds = c.size * settings.service.toDouble(DurationUnit.SECONDS)
        val perSecond = c.load * settings.upstreams * settings.slots / slotSeconds
        loop.after((-ln(1.0 - arrivals.nextDouble()) / perSecond).seconds) {
            val counted = loop.now() - settings.warmUp in Duration.ZERO..settings.measured
            entries[arrivals.nextInt(entries.size)].offer(c, tallies.getValue(c.spec.name).takeIf { counted })
            arrive(c)
        }
    }

    private fun entry(n: Int, ref: EntryRef, router: FloodRouterFactory): FloodEntry {
        val wake = { entries[n].dispatcher.updateEntries(refs.toImmutableList()) }
        val site = FloodRouterFactory.Site(ref, zone(n), views, loop, random(n + 1_000), wake) { to, m ->
            mesh.send(ref, to, m)
        }
        val built = router.create(site)
        val traffic = FloodTraffic(zone(n), network, random(n + 3_000), settings) { mesh.send(ref, it.to, it.message) }
        return FloodEntry(ref, traffic, loop) {
            ServiceDispatcher(document, settings.dispatcher, loop, random(n + 2_000), built, ExplainLog(), emit = it)
        }.also { e -> mesh.join(ref, e.dispatcher::receive) }
    }

    private fun random(n: Int): RandomSource = SplitMix(settings.seed * SEED_STRIDE + n)

    private fun zone(n: Int) = Zone("z${n % settings.zones}")

    private companion object {
        const val SEED_STRIDE = 1_000_003L
        const val CONNECTIONS = 250
        val TICK = 10.milliseconds
        val SHED_COST = 0.5.milliseconds
    }
}
