package io.poplarwood.fleet

import io.poplarwood.fleet.config.ChangeRequest
import io.poplarwood.fleet.config.ChangeResult
import io.poplarwood.fleet.message.FleetMessage
import io.poplarwood.fleet.message.Peer
import io.poplarwood.fleet.store.StorePorts
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Drives a [FleetNode]: ticks it, performs its store operations and passes on its messages and events. Store operations
 * that are asked for before [run] wait for it.
 *
 * @param send sends a message; must not block
 * @param onEvent receives events in order; must not block or call back into the runner
 */
class FleetRunner(
    private val node: FleetNode,
    private val ports: StorePorts,
    private val send: (FleetOutput.Send) -> Unit,
    private val onEvent: (FleetEvent) -> Unit,
) {
    private val lock = Mutex()
    private val settled = ConcurrentHashMap<String, CompletableDeferred<ChangeResult>>()
    private val everywhere = ConcurrentHashMap<String, CompletableDeferred<Duration>>()
    private val early = ArrayList<FleetOutput.Perform>()
    private var scope: CoroutineScope? = null

    /** Runs until cancelled. */
    suspend fun run(): Nothing = coroutineScope {
        lock.withLock {
            scope = this
            early.forEach { perform(this, it) }
            early.clear()
        }
        while (true) {
            input { tick() }
            delay(TICK)
        }
        @Suppress("UNREACHABLE_CODE")
        error("unreachable")
    }

    /** Takes in a message from the verified peer [from]. */
    suspend fun receive(from: Peer, message: FleetMessage) = input { receive(from, message) }

    /** Gives [block] to the node, for instance `{ ready(true) }`, and carries out what it returns. */
    suspend fun input(block: FleetNode.() -> List<FleetOutput>) {
        lock.withLock { node.block().forEach(::carryOut) }
    }

    /** Reads from the node. */
    suspend fun <T> read(block: FleetNode.() -> T): T = lock.withLock { node.block() }

    /** Makes a change and waits for its outcome. */
    suspend fun change(request: ChangeRequest): ChangeResult {
        val outcome = CompletableDeferred<ChangeResult>()
        settled[request.changeId] = outcome
        everywhere[request.changeId] = CompletableDeferred()
        input { change(request) }
        val result = outcome.await()
        val written = result is ChangeResult.Accepted || result is ChangeResult.Unconfirmed
        if (!written) everywhere.remove(request.changeId)
        return result
    }

    /** Waits until the change [changeId], written here, is in force everywhere; returns the time it took. */
    suspend fun awaitInForce(changeId: String): Duration? = everywhere[changeId]?.await()

    /** Stops keeping track of [changeId] for [awaitInForce]. */
    fun forget(changeId: String) {
        everywhere.remove(changeId)
    }

    private fun carryOut(output: FleetOutput) {
        when (output) {
            is FleetOutput.Send -> send(output)
            is FleetOutput.Tell -> tell(output.event)
            is FleetOutput.Perform -> scope?.let { perform(it, output) } ?: early.add(output)
        }
    }

    private fun perform(scope: CoroutineScope, output: FleetOutput.Perform) {
        scope.launch {
            val answer = ports.perform(output.operation)
            input { answered(output.id, answer) }
        }
    }

    private fun tell(event: FleetEvent) {
        when (event) {
            is FleetEvent.ChangeSettled -> settled.remove(event.changeId)?.complete(event.result)
            is FleetEvent.InForceEverywhere -> everywhere[event.changeId]?.complete(event.after)
            else -> Unit
        }
        onEvent(event)
    }

    private companion object {
        val TICK = 100.milliseconds
    }
}
