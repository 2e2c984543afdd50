package io.poplarwood.bench.slopes

import io.poplarwood.api.id.ClassName
import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.Incarnation
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.SplitMix
import io.poplarwood.api.work.ClassSpec
import io.poplarwood.api.work.Rank
import io.poplarwood.api.work.ServiceDocument
import io.poplarwood.api.work.Target
import io.poplarwood.bench.api.BenchOptions
import io.poplarwood.bench.virtual.EventLoop
import io.poplarwood.decision.dispatch.Command
import io.poplarwood.decision.dispatch.DispatcherSettings
import io.poplarwood.decision.dispatch.ServiceDispatcher
import io.poplarwood.decision.explain.ExplainLog
import io.poplarwood.decision.routing.LeaseMessage
import io.poplarwood.decision.routing.RouterSettings
import io.poplarwood.decision.routing.SlotRouter
import io.poplarwood.decision.routing.UpstreamState
import io.poplarwood.decision.routing.UpstreamView
import kotlinx.collections.immutable.toImmutableList
import kotlinx.serialization.cbor.Cbor
import kotlin.time.Duration.Companion.milliseconds

/** What the periodic systems of the decisions cost one entry that has every service of its cell and no calls. */
internal class DecisionSlopes(private val options: BenchOptions) {
    private val ticks = if (options.quick) 200 else 3_000

    fun all(): List<Slope> = listOf(services(), upstreams(), entries())

    private fun services() = Slope(
        "Decisions: services of the cell",
        "services",
        TargetSize.SERVICES,
        listOf(13, 26, 52, 104).map { point(it.toDouble(), services = it) },
    )

    private fun upstreams() = Slope(
        "Decisions: upstreams of the cell, 13 services",
        "upstreams",
        TargetSize.UPSTREAMS,
        listOf(130, 260, 520, 1_040).map { point(it.toDouble(), perService = it / 13) },
    )

    private fun entries() = Slope(
        "Decisions: entries of the cell, 13 services",
        "entries",
        TargetSize.ENTRIES,
        listOf(8, 16, 32, 64).map { point(it.toDouble(), entries = it) },
    )

    private fun point(size: Double, services: Int = 13, perService: Int = 18, entries: Int = 16): Point {
        val loop = EventLoop()
        var bytes = 0L
        val before = Meter.heapInUse()
        val made = List(services) { n -> dispatcher(loop, n, perService, entries) { bytes += sizeOf(it) } }
        run(loop, made, WARM_TICKS)
        val heap = (Meter.heapInUse() - before).coerceAtLeast(0)
        bytes = 0
        val cpu = Meter.processorTime { run(loop, made, ticks) }
        val seconds = ticks * TICK.inWholeMilliseconds / 1000.0
        return Point(size, cpu.inWholeMicroseconds / seconds, bytes / seconds, heap / KB)
    }

    private fun run(loop: EventLoop, made: List<ServiceDispatcher>, count: Int) = repeat(count) {
        loop.runUntil(loop.now() + TICK)
        made.forEach { it.tick() }
    }

    private fun sizeOf(command: Command): Int =
        if (command is Command.Send) Cbor.encodeToByteArray(LeaseMessage.serializer(), command.message).size else 0

    private fun dispatcher(
        loop: EventLoop,
        service: Int,
        upstreams: Int,
        entries: Int,
        emit: (Command) -> Unit,
    ): ServiceDispatcher {
        val refs = List(entries) { EntryRef(EntryId("entry-$it"), Incarnation(1, it.toLong())) }
        val router = SlotRouter(refs[0], RouterSettings(ZONE), loop, SplitMix(options.seed + service)) { to, message ->
            emit(Command.Send(to, message))
        }
        val random = SplitMix(options.seed - service)
        val log = ExplainLog(1)
        val made = ServiceDispatcher(document(service), DispatcherSettings(), loop, random, router, log, emit = emit)
        made.updateEntries(refs.toImmutableList())
        made.updateUpstreams(List(upstreams) { view(service, it) }.toImmutableList())
        return made
    }

    private fun view(service: Int, n: Int) =
        UpstreamView(UpstreamId("10.$service.0.$n:8080", "vm-$n"), ZONE, 3, 250, UpstreamState.LIVE)

    private fun document(service: Int) = ServiceDocument(
        ServiceName("service-$service"),
        listOf(
            ClassSpec(ClassName("checks"), Rank.URGENT, Target(servedWithinMs = 100)),
            ClassSpec(ClassName("orders"), Rank.STANDARD, Target(keepShare = 0.2)),
            ClassSpec(ClassName("archives"), Rank.BACKGROUND, Target(keepShare = 0.1)),
        ),
        ClassName("checks"),
    )

    private companion object {
        const val KB = 1024.0
        const val WARM_TICKS = 1_000
        val TICK = 10.milliseconds
        val ZONE = Zone("z0")
    }
}
