package io.poplarwood.gateway.load

import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.SplitMix
import io.poplarwood.gateway.decision.Placement
import io.poplarwood.gateway.decision.ProbeChoice
import io.poplarwood.gateway.decision.SlotDecision
import io.poplarwood.gateway.decision.SlotQueue
import io.poplarwood.gateway.decision.SlotRequest
import io.poplarwood.gateway.support.SERVICE
import io.poplarwood.gateway.support.job
import io.poplarwood.gateway.support.upstream
import io.poplarwood.gateway.upstream.UpstreamRow
import io.poplarwood.gateway.upstream.UpstreamTable
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Response times that callers get where a quarter of the upstreams is slow at any moment. No request is repeated. */
class NoisyNeighboursSpec {
    private class Result(val p99: Double, val inAim: Double)

    private fun resultOf(shape: ModelParameters, times: List<Double>): Result {
        val sorted = times.sorted()
        return Result(sorted[(sorted.size * 0.99).toInt()], times.count { it <= shape.aimMs }.toDouble() / times.size)
    }

    /** Sends each request to the upstream that [choose] names; it is told the requests that its entry has at each. */
    private fun alone(shape: ModelParameters, seed: Long, choose: (own: IntArray, random: SplitMix) -> Int): Result {
        val cell = UpstreamModel(seed, shape)
        val random = SplitMix(seed + 1)
        val own = List(ENTRIES) { IntArray(shape.upstreams) }
        val times = ArrayList<Double>()
        cell.play(shape.rate, SECONDS) {
            val entry = own[random.nextInt(ENTRIES)]
            val at = choose(entry, random)
            val begun = cell.now
            entry[at]++
            cell.run(at) {
                entry[at]--
                times += cell.now - begun
            }
        }
        return resultOf(shape, times)
    }

    private class Entry(val name: EntryId, shape: ModelParameters, seed: Long) {
        val table = UpstreamTable().apply {
            for (i in 0 until shape.upstreams) put(upstream("u$i", shape.slots), Duration.ZERO)
        }
        val placement = Placement(Zone("z1"), SplitMix(seed))
        val queue = SlotQueue(placement, table)
    }

    /** The shipped decisions, with news between entries that take [NEWS_MS]; [probes] are sent by the first entry. */
    private fun shared(shape: ModelParameters, seed: Long, probes: ProbeChoice? = null): Result {
        val cell = UpstreamModel(seed, shape)
        val random = SplitMix(seed + 1)
        val entries = List(ENTRIES) { Entry(EntryId("e$it"), shape, seed + it) }
        val times = ArrayList<Double>()

        fun tell(from: Entry, id: String, slowness: Double?) {
            val count = checkNotNull(from.table[id]).ownInFlight
            cell.after(NEWS_MS) {
                for (entry in entries) {
                    val row = checkNotNull(entry.table[id])
                    if (entry !== from) row.setOther(from.name, count)
                    if (entry !== from && slowness != null) row.noteSlowness(slowness, cell.time)
                    entry.queue.pump(cell.time)
                }
            }
        }

        fun run(entry: Entry, row: UpstreamRow, begun: Double) {
            tell(entry, row.id, null)
            val held = row.inFlight
            val started = cell.now
            cell.run(row.id.drop(1).toInt()) { slowness ->
                val ratio = (cell.now - started) / (row.slownessNear(started.milliseconds) ?: slowness) / shape.workMs
                entry.placement.crowding.note(SERVICE, maxOf(held, row.inFlight), row.record.slots, ratio)
                row.ownInFlight--
                row.noteSlowness(slowness, cell.time)
                times += cell.now - begun
                tell(entry, row.id, slowness)
                entry.queue.pump(cell.time)
            }
        }

        fun probe(choice: ProbeChoice) {
            val first = entries.first()
            for (row in choice.due(first.table.of(SERVICE), cell.time)) {
                row.probedAt = cell.time
                row.noteSlowness(cell.slowness(row.id.drop(1).toInt()), cell.time)
                tell(first, row.id, row.slowness)
            }
            if (cell.now < SECONDS * 1_000) cell.after(PROBE_MS) { probe(choice) }
        }

        probes?.let { probe(it) }
        cell.play(shape.rate, SECONDS) {
            val entry = entries[random.nextInt(ENTRIES)]
            val begun = cell.now
            val aim = cell.time + (shape.aimMs * 0.9).milliseconds
            val deadline = cell.time + (shape.aimMs * 4).milliseconds
            val request = SlotRequest(SERVICE, 0, cell.time, job(shape.workMs.toInt()), aim, deadline, emptySet()) {
                if (it is SlotDecision.Granted) run(entry, it.row, begun) else times += shape.aimMs * 4.0
            }
            entry.queue.offer(request, cell.time)
        }
        return resultOf(shape, times)
    }

    private fun random(shape: ModelParameters, seed: Long) =
        alone(shape, seed) { _, random -> random.nextInt(shape.upstreams) }

    private fun leastInFlight(shape: ModelParameters, seed: Long) = alone(shape, seed) { own, random ->
        val least = own.min()
        val equal = own.indices.filter { own[it] == least }
        equal[random.nextInt(equal.size)]
    }

    @Nested
    inner class `many requests for each upstream` {
        /** Guards against decisions that no longer use what entries tell each other of slowness. */
        @Test
        fun `keep the 99th percentile below half of random's and two thirds of least in flight's`() {
            for (seed in 1L..3L) {
                val shipped = shared(BUSY, seed)
                val byRandom = random(BUSY, seed)
                val byLeast = leastInFlight(BUSY, seed)
                val figures = "p99 ${shipped.p99}, random ${byRandom.p99}, least in flight ${byLeast.p99}; in aim " +
                    "${shipped.inAim}, ${byRandom.inAim}, ${byLeast.inAim}"
                println("seed $seed: $figures")
                assertTrue(shipped.p99 <= 0.5 * byRandom.p99, figures)
                assertTrue(shipped.p99 <= 0.65 * byLeast.p99, figures)
            }
        }
    }

    @Nested
    inner class `few requests for each upstream` {
        /** Guards against upstreams whose answers are too rare to tell of their slowness, and which nobody asks. */
        @Test
        fun `are late half as often when upstreams are asked how slow they are`() {
            for (seed in 1L..3L) {
                val asked = shared(SPARSE, seed, ProbeChoice { MOST_PROBES_PER_S })
                val unasked = shared(SPARSE, seed)
                val byRandom = random(SPARSE, seed)
                val figures = "in aim ${asked.inAim}, unasked ${unasked.inAim}, random ${byRandom.inAim}"
                println("seed $seed: $figures")
                assertTrue(1 - asked.inAim <= 0.5 * (1 - unasked.inAim), figures)
            }
        }
    }

    private companion object {
        const val ENTRIES = 6
        const val NEWS_MS = 4.0
        const val SECONDS = 60
        const val PROBE_MS = 20.0
        const val MOST_PROBES_PER_S = 60.0

        /** 45% of what sixty slots carry when none is slow. */
        val BUSY = ModelParameters(20, 3, slowShare = 0.25, workMs = 60.0, rate = 450.0, aimMs = 200)

        /** A quarter of what its slots carry, with six requests a second for each upstream. */
        val SPARSE = ModelParameters(17, 6, slowShare = 0.35, workMs = 220.0, rate = 100.0, aimMs = 500)
    }
}
