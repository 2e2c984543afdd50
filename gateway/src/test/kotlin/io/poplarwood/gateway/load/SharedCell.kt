package io.poplarwood.gateway.load

import io.poplarwood.api.id.EntryId
import io.poplarwood.api.random.SplitMix
import io.poplarwood.gateway.decision.SlotDecision
import io.poplarwood.gateway.decision.SlotRequest
import io.poplarwood.gateway.decision.Suspicion
import io.poplarwood.gateway.support.SERVICE
import io.poplarwood.gateway.support.job
import io.poplarwood.gateway.upstream.AvailabilityInput
import io.poplarwood.gateway.upstream.UpstreamRow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Entries with the shipped queue, placement and availability before ten upstreams, in virtual time. Again and again
 * some upstreams turn requests away for one to five seconds and say for how long.
 *
 * @param load requests that arrive, as a share of what all upstreams finish at most
 * @param away upstreams that turn away at once
 */
internal class SharedCell(load: Double, seed: Long, private val heeded: RetryAfterScope, private val away: Int) {
    private val shape = ModelParameters(UPSTREAMS, SLOTS, slowShare = 0.0, WORK_MS, rateOf(load), AIM_MS)
    private val cell = UpstreamModel(seed, shape)
    private val random = SplitMix(seed + 1)
    private val phases = SplitMix(seed + 2)
    private val suspicion = Suspicion()
    private val entries = List(ENTRIES) { ModelEntry(EntryId("e$it"), seed + it) }
    private val awayUntil = DoubleArray(UPSTREAMS)
    private var arrived = 0
    private var inAim = 0
    private var sheds = 0
    private var mostEarly = 0

    /** Plays it to the end. */
    fun result(): ModelResult {
        turnAway()
        cell.play(shape.rate, SECONDS) {
            arrived++
            request(entries[random.nextInt(ENTRIES)], cell.now, emptySet(), attempts = 2)
        }
        val capacity = rateOf(1.0) * SECONDS
        return ModelResult(inAim.toDouble() / arrived, inAim / capacity, sheds, mostEarly)
    }

    private fun turnAway() {
        repeat(away) {
            awayUntil[phases.nextInt(UPSTREAMS)] = cell.now + 1_000 + 4_000 * phases.nextDouble()
        }
        if (cell.now < SECONDS * 1_000) cell.after(EVERY_MS) { turnAway() }
    }

    private fun request(entry: ModelEntry, begun: Double, tried: Set<String>, attempts: Int) {
        val aim = (begun + AIM_MS * 0.9).milliseconds
        val deadline = (begun + AIM_MS * 4).milliseconds
        val work = job(WORK_MS.toInt())
        val wanted = SlotRequest(SERVICE, 0, begun.milliseconds, work, aim, deadline, tried) {
            if (it is SlotDecision.Granted) send(entry, it.row, begun, tried, attempts)
        }
        entry.queue.offer(wanted, cell.time)
    }

    private fun send(entry: ModelEntry, row: UpstreamRow, begun: Double, tried: Set<String>, attempts: Int) {
        tell(entry, row)
        count(entry, row)
        val index = row.id.drop(1).toInt()
        val left = awayUntil[index] - cell.now
        if (left > 0) return cell.after(ROUND_TRIP_MS) { turnedAway(entry, row, left, begun, tried, attempts) }
        val held = row.inFlight
        val started = cell.now
        cell.run(index) {
            val ratio = (cell.now - started) / WORK_MS
            entry.placement.crowding.note(SERVICE, maxOf(held, row.inFlight), SLOTS, ratio)
            release(entry, row)
            if (cell.now - begun <= AIM_MS) inAim++
        }
    }

    private fun count(entry: ModelEntry, row: UpstreamRow) {
        val until = entry.asked[row.id] ?: return
        val begins = entry.early.getOrPut(row.id) { 0 }
        if (cell.time < until) entry.early[row.id] = begins + 1
        mostEarly = maxOf(mostEarly, entry.early.getValue(row.id))
    }

    private fun turnedAway(
        entry: ModelEntry,
        row: UpstreamRow,
        left: Double,
        begun: Double,
        tried: Set<String>,
        attempts: Int,
    ) {
        sheds++
        suspicion.shed(row, cell.time)
        val heeding = if (heeded == RetryAfterScope.BY_ALL) entries else listOf(entry)
        if (heeded != RetryAfterScope.BY_NONE) heeding.forEach { heed(it, row.id, left.milliseconds) }
        release(entry, row)
        if (attempts > 1) request(entry, begun, tried + row.id, attempts - 1)
    }

    private fun heed(entry: ModelEntry, id: String, time: Duration) {
        val row = checkNotNull(entry.table[id])
        row.availability.take(AvailabilityInput.WantsNothingFor(time), cell.time, random.nextDouble())
        entry.asked[id] = cell.time + time
        // What was under way when the upstream said so does not count.
        entry.early[id] = -row.ownInFlight
    }

    private fun release(entry: ModelEntry, row: UpstreamRow) {
        row.ownInFlight--
        tell(entry, row)
        entry.queue.pump(cell.time)
    }

    private fun tell(from: ModelEntry, row: UpstreamRow) {
        if (!from.untold.add(row.id)) return
        cell.after(GATHERING_MS) {
            from.untold -= row.id
            val count = row.ownInFlight
            cell.after(NEWS_MS) { entries.forEach { if (it !== from) take(it, from, row.id, count) } }
        }
    }

    private fun take(entry: ModelEntry, from: ModelEntry, id: String, count: Int) {
        entry.table[id]?.setOther(from.name, count)
        entry.queue.pump(cell.time)
    }

    companion object {
        const val ENTRIES = 6
        const val UPSTREAMS = 10
        const val SLOTS = 3
        const val WORK_MS = 60.0
        const val AIM_MS = 200
        const val EVERY_MS = 6_000.0
        const val ROUND_TRIP_MS = 2.0
        const val GATHERING_MS = 3.0
        const val NEWS_MS = 1.0
        const val SECONDS = 30

        /** Requests that an upstream finishes most with. */
        const val BEST_HELD = 2

        /** Requests a second that are [load] of what all upstreams finish at most. */
        fun rateOf(load: Double) = load * UPSTREAMS * BEST_HELD * 1_000 / WORK_MS
    }
}
