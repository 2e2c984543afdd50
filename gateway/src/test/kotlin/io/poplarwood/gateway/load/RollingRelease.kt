package io.poplarwood.gateway.load

import io.poplarwood.api.id.EntryId
import io.poplarwood.api.random.SplitMix
import io.poplarwood.gateway.decision.OutcomeRecorder
import io.poplarwood.gateway.decision.SlotDecision
import io.poplarwood.gateway.decision.SlotRequest
import io.poplarwood.gateway.load.SharedUpstreams.Companion.BATCHING_DELAY_MS
import io.poplarwood.gateway.load.SharedUpstreams.Companion.ENTRIES
import io.poplarwood.gateway.load.SharedUpstreams.Companion.ROUND_TRIP_MS
import io.poplarwood.gateway.load.SharedUpstreams.Companion.SLOTS
import io.poplarwood.gateway.load.SharedUpstreams.Companion.TARGET_MS
import io.poplarwood.gateway.load.SharedUpstreams.Companion.UPDATE_DELAY_MS
import io.poplarwood.gateway.load.SharedUpstreams.Companion.UPSTREAMS
import io.poplarwood.gateway.load.SharedUpstreams.Companion.WORK_MS
import io.poplarwood.gateway.load.SharedUpstreams.Companion.requestsPerSAt
import io.poplarwood.gateway.support.SERVICE
import io.poplarwood.gateway.support.job
import io.poplarwood.gateway.support.upstream
import io.poplarwood.gateway.upstream.UpstreamRow
import kotlin.time.Duration.Companion.milliseconds

/**
 * Model in virtual time of a rolling release of the upstreams of [SharedUpstreams]: one after the other drains for
 * [LEAVING_MS], ends, and registers as a new incarnation after [RESTART_MS]. While it drains it still accepts requests
 * and marks its answers.
 *
 * @param load arrival rate as a share of the maximum throughput of all upstreams
 * @param notice what entries heed
 */
internal class RollingRelease(load: Double, seed: Long, private val notice: LeavingNotice) {
    private enum class Phase { SERVING, LEAVING, ENDED }

    private class Call(val arrivedMs: Double, val tried: Set<String>, val attempts: Int)

    private val params = ModelParameters(UPSTREAMS, SLOTS, slowShare = 0.0, WORK_MS, requestsPerSAt(load), TARGET_MS)
    private val model = UpstreamModel(seed, params)
    private val random = SplitMix(seed + 1)
    private val suspicion = OutcomeRecorder()
    private val entries = List(ENTRIES) { ModelEntry(EntryId("e$it"), seed + it) }
    private val phases = Array(UPSTREAMS) { Phase.SERVING }
    private val born = LongArray(UPSTREAMS) { 1 }
    private var arrived = 0
    private var inTime = 0
    private var lateRequests = 0
    private var lost = 0

    /** Runs the simulation to its end. */
    fun simulate(): ReleaseResult {
        model.schedule(RELEASE_PERIOD_MS) { release(0) }
        model.simulate(params.requestsPerS, SECONDS) {
            arrived++
            enqueue(entries[random.nextInt(ENTRIES)], Call(model.nowMs, emptySet(), attempts = 2))
        }
        val capacity = requestsPerSAt(1.0) * SECONDS
        return ReleaseResult(inTime.toDouble() / arrived, inTime / capacity, lateRequests, lost)
    }

    private fun release(index: Int) {
        phases[index] = Phase.LEAVING
        if (notice == LeavingNotice.REGISTRATIONS) register(index, draining = true)
        model.schedule(LEAVING_MS) { phases[index] = Phase.ENDED }
        model.schedule(LEAVING_MS + RESTART_MS) {
            phases[index] = Phase.SERVING
            born[index]++
            register(index, draining = false)
        }
        if (index + 1 < UPSTREAMS) model.schedule(RELEASE_PERIOD_MS) { release(index + 1) }
    }

    private fun register(index: Int, draining: Boolean) {
        val record = upstream("u$index", SLOTS, draining = draining, born = born[index])
        model.schedule(REGISTRATION_DELAY_MS) {
            for (entry in entries) {
                entry.table.put(record, model.time)
                entry.queue.dispatch(model.time)
            }
        }
    }

    private fun enqueue(entry: ModelEntry, call: Call) {
        val arrivedAt = call.arrivedMs.milliseconds
        val target = arrivedAt + (TARGET_MS * 0.9).milliseconds
        val deadline = arrivedAt + (TARGET_MS * 4).milliseconds
        val request = SlotRequest(SERVICE, 0, arrivedAt, job(WORK_MS.toInt()), target, deadline, call.tried) {
            if (it is SlotDecision.Granted) send(entry, it.row, call)
        }
        entry.queue.offer(request, model.time)
    }

    private fun send(entry: ModelEntry, row: UpstreamRow, call: Call) {
        val markedAt = entry.markedAt[row.incarnation]
        if (markedAt != null && model.time - markedAt > DRAIN_BOUND) lateRequests++
        scheduleUpdate(entry, row)
        val index = row.id.drop(1).toInt()
        if (phases[index] == Phase.ENDED || row.record.startMs != born[index]) {
            return model.schedule(ROUND_TRIP_MS) { onLost(entry, row, call, call.attempts) }
        }
        val heldAtStart = row.inFlight
        val startedMs = model.nowMs
        model.run(index) {
            if (phases[index] == Phase.ENDED || row.record.startMs != born[index]) {
                return@run onLost(entry, row, call, call.attempts - 1)
            }
            val ratio = (model.nowMs - startedMs) / WORK_MS
            entry.placement.concurrencyModel.record(SERVICE, maxOf(heldAtStart, row.inFlight), SLOTS, ratio)
            suspicion.recordSuccess(row, model.time)
            if (phases[index] == Phase.LEAVING) onMarked(entry, row)
            finish(entry, row)
            if (model.nowMs - call.arrivedMs <= TARGET_MS) inTime++
        }
    }

    private fun onMarked(entry: ModelEntry, row: UpstreamRow) {
        entry.markedAt.putIfAbsent(row.incarnation, model.time)
        if (notice == LeavingNotice.MARKS) entry.table.markDraining(row.id, row.record.startMs, model.time)
    }

    private fun onLost(entry: ModelEntry, row: UpstreamRow, call: Call, attemptsLeft: Int) {
        lost++
        suspicion.recordLoss(row, model.time)
        finish(entry, row)
        if (attemptsLeft > 0) enqueue(entry, Call(call.arrivedMs, call.tried + row.id, attemptsLeft))
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
            val sent = checkNotNull(from.table[row.id])
            val count = sent.ownInFlight
            val drainingBorn = sent.drainingIncarnation
            model.schedule(UPDATE_DELAY_MS) {
                entries.forEach { if (it !== from) receiveUpdate(it, from, row.id, count, drainingBorn) }
            }
        }
    }

    private fun receiveUpdate(entry: ModelEntry, from: ModelEntry, id: String, count: Int, drainingBorn: Long?) {
        entry.table[id]?.setInFlightOf(from.name, count)
        if (drainingBorn != null) entry.table.markDraining(id, drainingBorn, model.time)
        entry.queue.dispatch(model.time)
    }

    private companion object {
        const val SECONDS = 40

        /** Longer than [DRAIN_BOUND], so that requests after the bound are seen. */
        const val LEAVING_MS = 3_000.0
        const val RESTART_MS = 400.0
        const val RELEASE_PERIOD_MS = 3_600.0
        const val REGISTRATION_DELAY_MS = 100.0

        /** Time after an answer with the mark from which its upstream must get no more requests. */
        val DRAIN_BOUND = 2_000.milliseconds
    }
}
