package io.poplarwood.gateway.load

import io.poplarwood.api.id.EntryId
import io.poplarwood.api.random.SplitMix
import io.poplarwood.gateway.decision.OutcomeRecorder
import io.poplarwood.gateway.decision.SlotDecision
import io.poplarwood.gateway.decision.SlotRequest
import io.poplarwood.gateway.support.SERVICE
import io.poplarwood.gateway.support.job
import io.poplarwood.gateway.upstream.AvailabilityInput
import io.poplarwood.gateway.upstream.UpstreamRow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Model in virtual time of [ENTRIES] entries, with the production queue, placement and availability, in front of
 * [UPSTREAMS] upstreams. Every [REJECTION_PERIOD_MS], some upstreams start to reject requests for one to five seconds
 * and announce for how long.
 *
 * @param load arrival rate as a share of the maximum throughput of all upstreams
 * @param rejecting upstreams, drawn with replacement, that start to reject requests in each period
 */
internal class SharedUpstreams(
    load: Double,
    seed: Long,
    private val scope: RetryAfterScope,
    private val rejecting: Int,
) {
    private val params = ModelParameters(UPSTREAMS, SLOTS, slowShare = 0.0, WORK_MS, requestsPerSAt(load), TARGET_MS)
    private val model = UpstreamModel(seed, params)
    private val random = SplitMix(seed + 1)
    private val rejections = SplitMix(seed + 2)
    private val suspicion = OutcomeRecorder()
    private val entries = List(ENTRIES) { ModelEntry(EntryId("e$it"), seed + it) }
    private val rejectUntilMs = DoubleArray(UPSTREAMS)
    private var arrived = 0
    private var inTime = 0
    private var sheds = 0
    private var maxEarly = 0

    /** Runs the simulation to its end. */
    fun simulate(): ModelResult {
        startRejections()
        model.simulate(params.requestsPerS, SECONDS) {
            arrived++
            enqueue(entries[random.nextInt(ENTRIES)], model.nowMs, emptySet(), attempts = 2)
        }
        val capacity = requestsPerSAt(1.0) * SECONDS
        return ModelResult(inTime.toDouble() / arrived, inTime / capacity, sheds, maxEarly)
    }

    private fun startRejections() {
        repeat(rejecting) {
            rejectUntilMs[rejections.nextInt(UPSTREAMS)] = model.nowMs + 1_000 + 4_000 * rejections.nextDouble()
        }
        if (model.nowMs < SECONDS * 1_000) model.schedule(REJECTION_PERIOD_MS) { startRejections() }
    }

    private fun enqueue(entry: ModelEntry, arrivedMs: Double, tried: Set<String>, attempts: Int) {
        val target = (arrivedMs + TARGET_MS * 0.9).milliseconds
        val deadline = (arrivedMs + TARGET_MS * 4).milliseconds
        val work = job(WORK_MS.toInt())
        val slotRequest = SlotRequest(SERVICE, 0, arrivedMs.milliseconds, work, target, deadline, tried) {
            if (it is SlotDecision.Granted) send(entry, it.row, arrivedMs, tried, attempts)
        }
        entry.queue.offer(slotRequest, model.time)
    }

    private fun send(entry: ModelEntry, row: UpstreamRow, arrivedMs: Double, tried: Set<String>, attempts: Int) {
        scheduleUpdate(entry, row)
        countIfEarly(entry, row)
        val index = row.id.drop(1).toInt()
        val leftMs = rejectUntilMs[index] - model.nowMs
        if (leftMs > 0) return model.schedule(ROUND_TRIP_MS) { onShed(entry, row, leftMs, arrivedMs, tried, attempts) }
        val heldAtStart = row.inFlight
        val startedMs = model.nowMs
        model.run(index) {
            val ratio = (model.nowMs - startedMs) / WORK_MS
            entry.placement.concurrencyModel.record(SERVICE, maxOf(heldAtStart, row.inFlight), SLOTS, ratio)
            suspicion.recordSuccess(row, model.time)
            finish(entry, row)
            if (model.nowMs - arrivedMs <= TARGET_MS) inTime++
        }
    }

    private fun countIfEarly(entry: ModelEntry, row: UpstreamRow) {
        val until = entry.retryAfter[row.id] ?: return
        val previous = entry.earlyRequests.getOrPut(row.id) { 0 }
        if (model.time < until) entry.earlyRequests[row.id] = previous + 1
        maxEarly = maxOf(maxEarly, entry.earlyRequests.getValue(row.id))
    }

    private fun onShed(
        entry: ModelEntry,
        row: UpstreamRow,
        leftMs: Double,
        arrivedMs: Double,
        tried: Set<String>,
        attempts: Int,
    ) {
        sheds++
        suspicion.recordShed(row, model.time)
        val deferring = if (scope == RetryAfterScope.BY_ALL) entries else listOf(entry)
        if (scope != RetryAfterScope.BY_NONE) deferring.forEach { defer(it, row.id, leftMs.milliseconds) }
        finish(entry, row)
        if (attempts > 1) enqueue(entry, arrivedMs, tried + row.id, attempts - 1)
    }

    private fun defer(entry: ModelEntry, id: String, rejectionTime: Duration) {
        val row = checkNotNull(entry.table[id])
        row.availability.apply(AvailabilityInput.PauseRequested(rejectionTime), model.time, random.nextDouble())
        entry.retryAfter[id] = model.time + rejectionTime
        // Requests that were in flight when the upstream announced the time do not count.
        entry.earlyRequests[id] = -row.ownInFlight
    }

    private fun finish(entry: ModelEntry, row: UpstreamRow) {
        row.ownInFlight--
        scheduleUpdate(entry, row)
        entry.queue.dispatch(model.time)
    }

    private fun scheduleUpdate(from: ModelEntry, row: UpstreamRow) {
        if (!from.pendingUpdates.add(row.id)) return
        model.schedule(BATCHING_DELAY_MS) {
            from.pendingUpdates -= row.id
            val count = row.ownInFlight
            model.schedule(UPDATE_DELAY_MS) {
                entries.forEach { if (it !== from) receiveUpdate(it, from, row.id, count) }
            }
        }
    }

    private fun receiveUpdate(entry: ModelEntry, from: ModelEntry, id: String, count: Int) {
        entry.table[id]?.setInFlightOf(from.name, count)
        entry.queue.dispatch(model.time)
    }

    companion object {
        const val ENTRIES = 6
        const val UPSTREAMS = 10
        const val SLOTS = 3
        const val WORK_MS = 60.0
        const val TARGET_MS = 200
        const val REJECTION_PERIOD_MS = 6_000.0
        const val ROUND_TRIP_MS = 2.0
        const val BATCHING_DELAY_MS = 3.0
        const val UPDATE_DELAY_MS = 1.0
        const val SECONDS = 30

        /** Concurrent requests at which the throughput of an upstream is highest. */
        const val BEST_CONCURRENCY = 2

        /** Arrival rate in requests per second that is [load] times the maximum throughput of all upstreams. */
        fun requestsPerSAt(load: Double) = load * UPSTREAMS * BEST_CONCURRENCY * 1_000 / WORK_MS
    }
}
