package io.poplarwood.fleet.store

import io.poplarwood.api.platform.StoreFailure
import io.poplarwood.api.random.Randomness
import io.poplarwood.fleet.FleetOutput
import io.poplarwood.fleet.FleetSettings
import io.poplarwood.fleet.recovery.TokenBucket
import kotlin.time.Duration

/**
 * Passes operations to the driver within the entry's part of the store's budget.
 *
 * Reads and writes have a bucket each. Urgent operations, those of an operator's change, have a third.
 */
internal class StoreQueue(
    settings: FleetSettings,
    private val random: Randomness,
    private val emit: (FleetOutput) -> Unit,
) {
    private class Waiting(val operation: StoreOperation, val then: (StoreAnswer) -> Unit)

    private val limited = settings.limited
    private val reads = with(settings.budget) { TokenBucket(entryReads, maxOf(MIN_BURST, entryReads)) }
    private val writes = with(settings.budget) { TokenBucket(entryWrites, maxOf(MIN_BURST, entryWrites)) }
    private val changes = with(settings.budget) { TokenBucket(changeWrites, maxOf(MIN_BURST, changeWrites / 2)) }
    private val waiting = ArrayDeque<Waiting>()
    private val urgent = ArrayDeque<Waiting>()
    private val running = LinkedHashMap<Long, (StoreAnswer) -> Unit>()
    private var nextId = random.nextLong() ushr ID_SHIFT

    val size: Int get() = waiting.size + urgent.size + running.size

    fun submit(now: Duration, operation: StoreOperation, isUrgent: Boolean, then: (StoreAnswer) -> Unit) {
        val queue = if (isUrgent) urgent else waiting
        if (queue.size >= MAX_WAITING) {
            then(StoreAnswer.Failed(StoreFailure.Throttled))
            return
        }
        queue.addLast(Waiting(operation, then))
        tick(now)
    }

    fun answered(now: Duration, id: Long, answer: StoreAnswer) {
        running.remove(id)?.invoke(answer)
        tick(now)
    }

    fun tick(now: Duration) {
        release(now, urgent) { changes }
        release(now, waiting) { if (it is StoreOperation.Transact || it is StoreOperation.Put) writes else reads }
    }

    private fun release(now: Duration, queue: ArrayDeque<Waiting>, bucket: (StoreOperation) -> TokenBucket) {
        while (true) {
            val next = queue.firstOrNull() ?: return
            if (limited && !bucket(next.operation).take(now, cost(next.operation))) return
            queue.removeFirst()
            val id = nextId++
            running[id] = next.then
            emit(FleetOutput.Perform(id, next.operation))
        }
    }

    private fun cost(operation: StoreOperation): Double =
        if (operation is StoreOperation.Transact) operation.writes.size.toDouble() else 1.0

    private companion object {
        const val MAX_WAITING = 256
        const val MIN_BURST = 8.0
        const val ID_SHIFT = 16
    }
}
