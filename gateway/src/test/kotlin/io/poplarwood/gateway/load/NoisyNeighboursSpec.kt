package io.poplarwood.gateway.load

import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.SplitMix
import io.poplarwood.gateway.decision.Placement
import io.poplarwood.gateway.decision.ProbeSelector
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

/** Response times when a quarter or more of the upstreams is slow at any moment. Requests are not retried. */
class NoisyNeighboursSpec {
    private class Result(val p99Ms: Double, val inTime: Double)

    private fun resultOf(params: ModelParameters, timesMs: List<Double>): Result {
        val sorted = timesMs.sorted()
        return Result(
            sorted[(sorted.size * 0.99).toInt()],
            timesMs.count { it <= params.targetMs }.toDouble() / timesMs.size,
        )
    }

    /**
     * Entries that share nothing: each request goes to the upstream that [choose] returns, given the number of requests
     * that its entry has in flight at each upstream.
     */
    private fun independent(
        params: ModelParameters,
        seed: Long,
        choose: (inFlight: IntArray, random: SplitMix) -> Int,
    ): Result {
        val model = UpstreamModel(seed, params)
        val random = SplitMix(seed + 1)
        val inFlight = List(ENTRIES) { IntArray(params.upstreams) }
        val timesMs = ArrayList<Double>()
        model.simulate(params.requestsPerS, SECONDS) {
            val entry = inFlight[random.nextInt(ENTRIES)]
            val index = choose(entry, random)
            val arrivedMs = model.nowMs
            entry[index]++
            model.run(index) {
                entry[index]--
                timesMs += model.nowMs - arrivedMs
            }
        }
        return resultOf(params, timesMs)
    }

    private class Entry(val name: EntryId, params: ModelParameters, seed: Long) {
        val table = UpstreamTable().apply {
            for (i in 0 until params.upstreams) put(upstream("u$i", params.slots), Duration.ZERO)
        }
        val placement = Placement(Zone("z1"), SplitMix(seed))
        val queue = SlotQueue(placement, table)
    }

    /**
     * Entries with the production queue and placement, whose updates reach the other entries after [UPDATE_DELAY_MS].
     * The first entry sends [probes], if any.
     */
    private fun sharing(params: ModelParameters, seed: Long, probes: ProbeSelector? = null): Result {
        val model = UpstreamModel(seed, params)
        val random = SplitMix(seed + 1)
        val entries = List(ENTRIES) { Entry(EntryId("e$it"), params, seed + it) }
        val timesMs = ArrayList<Double>()

        fun sendUpdate(from: Entry, id: String, slowness: Double?) {
            val count = checkNotNull(from.table[id]).ownInFlight
            model.schedule(UPDATE_DELAY_MS) {
                for (entry in entries) {
                    val row = checkNotNull(entry.table[id])
                    if (entry !== from) row.setInFlightOf(from.name, count)
                    if (entry !== from && slowness != null) row.recordSlowness(slowness, model.time)
                    entry.queue.dispatch(model.time)
                }
            }
        }

        fun run(entry: Entry, row: UpstreamRow, arrivedMs: Double) {
            sendUpdate(entry, row.id, null)
            val heldAtStart = row.inFlight
            val startedMs = model.nowMs
            model.run(row.id.drop(1).toInt()) { slowness ->
                val ratio =
                    (model.nowMs - startedMs) / (row.slownessNear(startedMs.milliseconds) ?: slowness) / params.workMs
                entry.placement.concurrencyModel.record(
                    SERVICE,
                    maxOf(heldAtStart, row.inFlight),
                    row.record.slots,
                    ratio,
                )
                row.ownInFlight--
                row.recordSlowness(slowness, model.time)
                timesMs += model.nowMs - arrivedMs
                sendUpdate(entry, row.id, slowness)
                entry.queue.dispatch(model.time)
            }
        }

        fun probe(choice: ProbeSelector) {
            val first = entries.first()
            for (row in choice.selectDue(first.table.of(SERVICE), model.time)) {
                row.probedAt = model.time
                row.recordSlowness(model.slowness(row.id.drop(1).toInt()), model.time)
                sendUpdate(first, row.id, row.slowness)
            }
            if (model.nowMs < SECONDS * 1_000) model.schedule(PROBE_PERIOD_MS) { probe(choice) }
        }

        probes?.let { probe(it) }
        model.simulate(params.requestsPerS, SECONDS) {
            val entry = entries[random.nextInt(ENTRIES)]
            val arrivedMs = model.nowMs
            val target = model.time + (params.targetMs * 0.9).milliseconds
            val deadline = model.time + (params.targetMs * 4).milliseconds
            val request =
                SlotRequest(SERVICE, 0, model.time, job(params.workMs.toInt()), target, deadline, emptySet()) {
                    if (it is SlotDecision.Granted) run(entry, it.row, arrivedMs) else timesMs += params.targetMs * 4.0
                }
            entry.queue.offer(request, model.time)
        }
        return resultOf(params, timesMs)
    }

    private fun random(params: ModelParameters, seed: Long) =
        independent(params, seed) { _, random -> random.nextInt(params.upstreams) }

    private fun leastInFlight(params: ModelParameters, seed: Long) = independent(params, seed) { inFlight, random ->
        val least = inFlight.min()
        val equal = inFlight.indices.filter { inFlight[it] == least }
        equal[random.nextInt(equal.size)]
    }

    @Nested
    inner class `many requests for each upstream` {
        /** Guards against placement that no longer uses the slowness that entries report to each other. */
        @Test
        fun `keep the 99th percentile below half that of random and two thirds that of least in flight`() {
            for (seed in 1L..3L) {
                val shipped = sharing(BUSY, seed)
                val byRandom = random(BUSY, seed)
                val byLeast = leastInFlight(BUSY, seed)
                val figures =
                    "p99 ${shipped.p99Ms}, random ${byRandom.p99Ms}, least in flight ${byLeast.p99Ms}; in time " +
                        "${shipped.inTime}, ${byRandom.inTime}, ${byLeast.inTime}"
                println("seed $seed: $figures")
                assertTrue(shipped.p99Ms <= 0.5 * byRandom.p99Ms, figures)
                assertTrue(shipped.p99Ms <= 0.65 * byLeast.p99Ms, figures)
            }
        }
    }

    @Nested
    inner class `few requests for each upstream` {
        /** Guards against missing probes of upstreams whose responses are too rare to show how slow they are. */
        @Test
        fun `are late at most half as often when upstreams are probed for their slowness`() {
            for (seed in 1L..3L) {
                val probed = sharing(SPARSE, seed, ProbeSelector { MAX_PROBES_PER_S })
                val unprobed = sharing(SPARSE, seed)
                val byRandom = random(SPARSE, seed)
                val figures = "in time ${probed.inTime}, not probed ${unprobed.inTime}, random ${byRandom.inTime}"
                println("seed $seed: $figures")
                assertTrue(1 - probed.inTime <= 0.5 * (1 - unprobed.inTime), figures)
            }
        }
    }

    private companion object {
        const val ENTRIES = 6
        const val UPDATE_DELAY_MS = 4.0
        const val SECONDS = 60
        const val PROBE_PERIOD_MS = 20.0
        const val MAX_PROBES_PER_S = 60.0

        /** 45% of the capacity of its 60 slots when no upstream is slow. */
        val BUSY = ModelParameters(20, 3, slowShare = 0.25, workMs = 60.0, requestsPerS = 450.0, targetMs = 200)

        /** About a quarter of the capacity of its 102 slots, with about six requests per second and upstream. */
        val SPARSE = ModelParameters(17, 6, slowShare = 0.35, workMs = 220.0, requestsPerS = 100.0, targetMs = 500)
    }
}
