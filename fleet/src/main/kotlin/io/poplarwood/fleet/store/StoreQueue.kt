package io.poplarwood.fleet.store

import io.poplarwood.api.platform.StoreFailure
import io.poplarwood.api.random.RandomSource
import io.poplarwood.fleet.FleetOutput
import io.poplarwood.fleet.FleetSettings
import io.poplarwood.fleet.recovery.TokenBucket
import kotlin.time.Duration

/**
 * Rate limiter that passes operations to the driver within this entry's share of the store budget.
 *
 * Reads and writes have a token bucket each; urgent operations, those of an operator's change, have a third bucket.
 */
internal class StoreQueue(
    settings: FleetSettings,
    private val random: RandomSource,
    private val emit: (FleetOutput) -> Unit,
) {
    private class QueuedOperation(val operation: StoreOperation, val onResult: (StoreResult) -> Unit)

    private val limited = settings.limited
    private val reads = with(settings.budget) { TokenBucket(entryReads, maxOf(MIN_BURST, entryReads)) }
    private val writes = with(settings.budget) { TokenBucket(entryWrites, maxOf(MIN_BURST, entryWrites)) }
    private val changes = with(settings.budget) { TokenBucket(changeWrites, maxOf(MIN_BURST, changeWrites / 2)) }
    private val queued = ArrayDeque<QueuedOperation>()
    private val urgent = ArrayDeque<QueuedOperation>()
    private val inFlight = LinkedHashMap<Long, (StoreResult) -> Unit>()
    private var nextId = random.nextLong() ushr ID_SHIFT

    val size: Int get() = queued.size + urgent.size + inFlight.size

    fun submit(now: Duration, operation: StoreOperation, isUrgent: Boolean, onResult: (StoreResult) -> Unit) {
        val queue = if (isUrgent) urgent else queued
        if (queue.size >= MAX_QUEUED) {
            onResult(StoreResult.Failed(StoreFailure.Throttled))
            return
        }
        queue.addLast(QueuedOperation(operation, onResult))
        tick(now)
    }

    fun completed(now: Duration, id: Long, result: StoreResult) {
        inFlight.remove(id)?.invoke(result)
        tick(now)
    }

    fun tick(now: Duration) {
        dispatch(now, urgent) { changes }
        dispatch(now, queued) { if (it is StoreOperation.Transact || it is StoreOperation.Put) writes else reads }
    }

    private fun dispatch(now: Duration, queue: ArrayDeque<QueuedOperation>, bucket: (StoreOperation) -> TokenBucket) {
        while (true) {
            val next = queue.firstOrNull() ?: return
            if (limited && !bucket(next.operation).tryTake(now, cost(next.operation))) return
            queue.removeFirst()
            val id = nextId++
            inFlight[id] = next.onResult
            emit(FleetOutput.Perform(id, next.operation))
        }
    }

    private fun cost(operation: StoreOperation): Double =
        if (operation is StoreOperation.Transact) operation.writes.size.toDouble() else 1.0

    private companion object {
        const val MAX_QUEUED = 256
        const val MIN_BURST = 8.0
        const val ID_SHIFT = 16
    }
}
