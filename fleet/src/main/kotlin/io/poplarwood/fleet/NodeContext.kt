package io.poplarwood.fleet

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.random.RandomSource
import io.poplarwood.api.time.Ticker
import io.poplarwood.fleet.message.FleetMessage
import io.poplarwood.fleet.message.Peer
import io.poplarwood.fleet.store.StoreOperation
import io.poplarwood.fleet.store.StoreQueue
import io.poplarwood.fleet.store.StoreResult
import kotlin.time.Clock
import kotlin.time.Duration

/** Shared by the components of one node: clock, randomness, outputs and the queue of store operations. */
internal class NodeContext(
    val settings: FleetSettings,
    val ticker: Ticker,
    val clock: Clock,
    val random: RandomSource,
) {
    var self: EntryRef = settings.self
    private var out = ArrayList<FleetOutput>()
    private val queue = StoreQueue(settings, random) { out += it }

    val now: Duration get() = ticker.now()

    fun send(to: Peer, message: FleetMessage) {
        out += FleetOutput.Send(to.address, to.ref, message)
    }

    fun send(address: String, message: FleetMessage) {
        out += FleetOutput.Send(address, null, message)
    }

    fun emit(event: FleetEvent) {
        out += FleetOutput.Notify(event)
    }

    /** Performs [operation] within the store budget; [urgent] operations have a separate rate limit. */
    fun perform(operation: StoreOperation, urgent: Boolean = false, onResult: (StoreResult) -> Unit) {
        queue.submit(now, operation, urgent, onResult)
    }

    fun storeCompleted(id: Long, result: StoreResult) = queue.completed(now, id, result)

    fun tick() = queue.tick(now)

    /** Number of store operations that are queued or in flight. */
    val storeBacklog: Int get() = queue.size

    /** Returns and removes the outputs since the last call. */
    fun takeOutputs(): List<FleetOutput> {
        val drained = out
        out = ArrayList()
        return drained
    }
}
