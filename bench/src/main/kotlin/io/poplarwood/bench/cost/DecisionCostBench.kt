package io.poplarwood.bench.cost

import com.sun.management.ThreadMXBean
import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.Incarnation
import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.SplitMix
import io.poplarwood.api.work.Rank
import io.poplarwood.bench.api.Bench
import io.poplarwood.bench.api.BenchOptions
import io.poplarwood.bench.api.BenchReport
import io.poplarwood.bench.api.BenchRow
import io.poplarwood.bench.api.BenchTable
import io.poplarwood.decision.routing.AttemptObservation
import io.poplarwood.decision.routing.AttemptResult
import io.poplarwood.decision.routing.Reservation
import io.poplarwood.decision.routing.RouteRequest
import io.poplarwood.decision.routing.RouterSettings
import io.poplarwood.decision.routing.SlotRouter
import io.poplarwood.decision.routing.UpstreamState
import io.poplarwood.decision.routing.UpstreamView
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import java.lang.management.ManagementFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds

/**
 * Time and allocation of one reserve and release, by a warm loop on the wall clock with the allocation counter of the
 * thread. JMH is not used: its generator needs a step of its own in the build.
 */
object DecisionCostBench : Bench {
    override val name: String = "decision-cost"
    override val summary: String = "nanoseconds and bytes of one reserve and release at 20, 200 and 2,000 upstreams"

    private val sizes = listOf(20, 200, 2_000)
    private val evidence = AttemptObservation(AttemptResult.ANSWERED, 10.milliseconds, 1, SLOTS)
    private val request = RouteRequest(Rank.URGENT)

    override suspend fun run(options: BenchOptions): BenchReport {
        val pairs = if (options.quick) QUICK_PAIRS else PAIRS
        val rows = sizes.map { size -> BenchRow("$size upstreams", measure(size, pairs, options.seed)) }
        val columns = listOf("ns per reserve and release", "bytes allocated per reserve and release")
        val title = "one decision of the shipped router: warm loop, wall clock, one entry that uses every upstream"
        return BenchReport(name, options.seed, listOf(BenchTable(title, columns, rows)))
    }

    private fun measure(size: Int, pairs: Int, seed: Long): List<Double> {
        val clock = Clock()
        val router = router(size, seed, clock)
        repeat(ROUNDS) { round(router, clock, pairs) }
        val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
        val bytesBefore = threads.currentThreadAllocatedBytes
        val start = System.nanoTime()
        round(router, clock, pairs)
        val nanos = System.nanoTime() - start
        val bytes = threads.currentThreadAllocatedBytes - bytesBefore
        return listOf(nanos.toDouble() / pairs, bytes.toDouble() / pairs)
    }

    private fun round(router: SlotRouter, clock: Clock, pairs: Int) = repeat(pairs) {
        clock.now += STEP
        val granted = router.reserve(request)
        check(granted is Reservation.Granted) { "no slot was granted: $granted" }
        router.release(granted.slot, evidence)
    }

    private fun router(size: Int, seed: Long, clock: Clock): SlotRouter {
        val self = EntryRef(EntryId("entry-0"), Incarnation(1, 1))
        val router = SlotRouter(self, RouterSettings(Zone("z")), { clock.now }, SplitMix(seed)) { _, _ -> }
        val views = List(size) { n ->
            val id = UpstreamId("10.0.${n / BYTE}.${n % BYTE}:8080", "u$n")
            UpstreamView(id, Zone("z"), SLOTS, CONNECTIONS, UpstreamState.LIVE)
        }
        router.updateEntries(persistentListOf(self))
        router.updateUpstreams(views.toImmutableList())
        repeat(TICKS) {
            clock.now += 10.milliseconds
            router.tick()
        }
        return router
    }

    private class Clock {
        var now: Duration = ZERO
    }

    private const val SLOTS = 3
    private const val CONNECTIONS = 250
    private const val BYTE = 250
    private const val TICKS = 400
    private const val ROUNDS = 5
    private const val PAIRS = 2_000_000
    private const val QUICK_PAIRS = 20_000
    private val STEP = 1.milliseconds / 10
}
