package io.poplarwood.fleet.virtual

import io.poplarwood.api.platform.Row
import io.poplarwood.api.platform.RowWrite
import io.poplarwood.api.platform.StoreFailure
import io.poplarwood.api.platform.VmRecord
import io.poplarwood.api.random.RandomSource
import io.poplarwood.fleet.store.StoreOperation
import io.poplarwood.fleet.store.StoreResult
import java.util.TreeMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Simulated platform in virtual time with fault injection.
 *
 * Operations are served one after the other, each for its cost divided by [rate]. A client fails an operation after
 * [TIMEOUT], but the store still serves it.
 */
class VirtualStore(private val timeline: Timeline, private val random: RandomSource) {
    private val rows = TreeMap<String, Row>()
    private val objects = HashMap<String, ByteArray>()
    private var freeAt = Duration.ZERO

    /** VMs that the platform lists. */
    var vms: List<VmRecord> = emptyList()

    /** True while every operation fails as unavailable. */
    var down = false

    /** Round-trip time of an operation, without queueing delay and service time. */
    var latency: Duration = 10.milliseconds

    /** Probability that the answer to an operation is lost, 0..1; half of these operations are applied. */
    var lostAnswerProbability = 0.0

    /** Capacity in operations per second; a transaction counts as one operation per row. */
    var rate = 2_300.0

    val load = StoreLoad()

    /** Version of the row at [key], 0 when there is none. */
    fun version(key: String): Long = rows[key]?.version ?: 0

    /** Performs [operation] and calls [onResult] later in virtual time. */
    fun perform(operation: StoreOperation, onResult: (StoreResult) -> Unit) {
        val arrival = latency / 2
        timeline.after(arrival) { receive(operation, onResult) }
    }

    private fun receive(operation: StoreOperation, onResult: (StoreResult) -> Unit) {
        if (down) return fail(StoreFailure.Unavailable, latency / 2, onResult)
        val writes = if (operation is StoreOperation.Transact) operation.writes.size else 0
        val cost = maxOf(1, writes)
        load.count(timeline.now(), reads = if (writes == 0) 1 else 0, writes = writes)
        freeAt = maxOf(freeAt, timeline.now()) + 1.seconds * (cost / rate)
        val queueingDelay = freeAt - timeline.now()
        val lost = random.nextDouble() < lostAnswerProbability
        val applied = !lost || random.nextDouble() < HALF
        val timedOut = queueingDelay + latency >= TIMEOUT
        if (timedOut) load.late++
        timeline.after(queueingDelay) {
            val result = if (applied) apply(operation) else null
            if (!timedOut && !lost && result != null) timeline.after(latency / 2) { onResult(result) }
        }
        if (timedOut || lost) fail(StoreFailure.AnswerLost, TIMEOUT, onResult)
    }

    private fun fail(failure: StoreFailure, after: Duration, onResult: (StoreResult) -> Unit) =
        timeline.after(after) { onResult(StoreResult.Failed(failure)) }

    /** Applies [operation] immediately. */
    fun apply(operation: StoreOperation): StoreResult = when (operation) {
        is StoreOperation.Read -> StoreResult.ReadRow(rows[operation.key])
        is StoreOperation.Scan -> StoreResult.Scanned(
            rows.tailMap(operation.prefix).values.asSequence()
                .takeWhile { it.key.startsWith(operation.prefix) }
                .filter { it.key > operation.after }.take(operation.limit).toList(),
        )
        is StoreOperation.Transact -> transact(operation.writes)
        is StoreOperation.Put -> {
            objects[operation.name] = operation.bytes
            StoreResult.Applied
        }
        is StoreOperation.Get -> StoreResult.Found(objects[operation.name])
        StoreOperation.ListVms -> StoreResult.Vms(vms)
    }

    private fun transact(writes: List<RowWrite>): StoreResult {
        val differs = writes.firstOrNull { version(it.key) != it.expected }
        if (differs != null) {
            return StoreResult.Failed(StoreFailure.Conflict(differs.key, rows[differs.key]?.version))
        }
        writes.forEach { w ->
            val value = w.value
            if (value == null) rows.remove(w.key) else rows[w.key] = Row(w.key, w.expected + 1, value)
        }
        return StoreResult.Applied
    }

    companion object {
        /** Client timeout. */
        val TIMEOUT = 2.seconds
        private const val HALF = 0.5
    }
}
