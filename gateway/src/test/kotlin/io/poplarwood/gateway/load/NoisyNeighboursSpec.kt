package io.poplarwood.gateway.load

import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.SplitMix
import io.poplarwood.gateway.decision.Placement
import io.poplarwood.gateway.decision.SlotDecision
import io.poplarwood.gateway.decision.SlotQueue
import io.poplarwood.gateway.decision.SlotRequest
import io.poplarwood.gateway.support.SERVICE
import io.poplarwood.gateway.support.job
import io.poplarwood.gateway.support.upstream
import io.poplarwood.gateway.upstream.UpstreamRow
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Response times that callers get where a quarter of the upstreams is slow at any moment. No request is repeated. */
class NoisyNeighboursSpec {
    private class Result(val p99: Double, val inAim: Double)

    private fun resultOf(times: List<Double>): Result {
        val sorted = times.sorted()
        return Result(sorted[(sorted.size * 0.99).toInt()], times.count { it <= AIM_MS }.toDouble() / times.size)
    }

    /** Sends each request to the upstream that [choose] names; it is told the requests that its entry has at each. */
    private fun alone(seed: Long, choose: (own: IntArray, random: SplitMix) -> Int): Result {
        val cell = NoisyCell(seed)
        val random = SplitMix(seed + 1)
        val own = List(ENTRIES) { IntArray(UPSTREAMS) }
        val times = ArrayList<Double>()
        cell.play(RATE, SECONDS) {
            val entry = own[random.nextInt(ENTRIES)]
            val at = choose(entry, random)
            val begun = cell.now
            entry[at]++
            cell.run(at) {
                entry[at]--
                times += cell.now - begun
            }
        }
        return resultOf(times)
    }

    private class Entry(val name: EntryId, seed: Long) {
        val table = UpstreamTable().apply { for (i in 0 until UPSTREAMS) put(upstream("u$i"), Duration.ZERO) }
        val placement = Placement(Zone("z1"), SplitMix(seed))
        val queue = SlotQueue(placement, table)
    }

    /** The shipped decisions, with news between entries that take [NEWS_MS]. */
    private fun shared(seed: Long): Result {
        val cell = NoisyCell(seed)
        val random = SplitMix(seed + 1)
        val entries = List(ENTRIES) { Entry(EntryId("e$it"), seed + it) }
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
                val ratio = (cell.now - started) / slowness / NoisyCell.WORK_MS
                entry.placement.crowding.note(SERVICE, maxOf(held, row.inFlight), row.record.slots, ratio)
                row.ownInFlight--
                row.noteSlowness(slowness, cell.time)
                times += cell.now - begun
                tell(entry, row.id, slowness)
                entry.queue.pump(cell.time)
            }
        }

        cell.play(RATE, SECONDS) {
            val entry = entries[random.nextInt(ENTRIES)]
            val begun = cell.now
            val aim = cell.time + (AIM_MS * 0.9).milliseconds
            val deadline = cell.time + DEADLINE_MS.milliseconds
            val request = SlotRequest(SERVICE, 0, cell.time, job(), aim, deadline, emptySet()) {
                if (it is SlotDecision.Granted) run(entry, it.row, begun) else times += DEADLINE_MS.toDouble()
            }
            entry.queue.offer(request, cell.time)
        }
        return resultOf(times)
    }

    private fun random(seed: Long) = alone(seed) { _, random -> random.nextInt(UPSTREAMS) }

    private fun leastInFlight(seed: Long) = alone(seed) { own, random ->
        val least = own.min()
        val equal = own.indices.filter { own[it] == least }
        equal[random.nextInt(equal.size)]
    }

    /** Guards against decisions that no longer use what entries tell each other of slowness. */
    @Test
    fun `keep the 99th percentile below half of random's and two thirds of least in flight's`() {
        for (seed in 1L..3L) {
            val shipped = shared(seed)
            val byRandom = random(seed)
            val byLeast = leastInFlight(seed)
            val figures = "p99 ${shipped.p99}, random ${byRandom.p99}, least in flight ${byLeast.p99}; in aim " +
                "${shipped.inAim}, ${byRandom.inAim}, ${byLeast.inAim}"
            println("seed $seed: $figures")
            assertTrue(shipped.p99 <= 0.5 * byRandom.p99, figures)
            assertTrue(shipped.p99 <= 0.65 * byLeast.p99, figures)
        }
    }

    private companion object {
        const val ENTRIES = 6
        const val UPSTREAMS = 20
        const val NEWS_MS = 4.0
        const val SECONDS = 60
        const val AIM_MS = 200.0
        const val DEADLINE_MS = 800

        /** 45% of what sixty slots carry when none is slow. */
        const val RATE = 0.45 * 60 * 1_000 / NoisyCell.WORK_MS
    }
}
