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
 * Drives a [FleetNode]: calls its ticks, performs its store operations and passes on its messages and events. Store
 * operations that the node requests before [run] is called are deferred until then.
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
    private val outcomes = ConcurrentHashMap<String, CompletableDeferred<ChangeResult>>()
    private val inForceTimes = ConcurrentHashMap<String, CompletableDeferred<Duration>>()
    private val deferred = ArrayList<FleetOutput.Perform>()
    private var scope: CoroutineScope? = null

    /** Runs until cancelled. */
    suspend fun run(): Nothing = coroutineScope {
        lock.withLock {
            scope = this
            deferred.forEach { perform(this, it) }
            deferred.clear()
        }
        while (true) {
            input { tick() }
            delay(TICK_INTERVAL)
        }
        @Suppress("UNREACHABLE_CODE")
        error("unreachable")
    }

    /** Passes a message from the authenticated peer [from] to the node. */
    suspend fun receive(from: Peer, message: FleetMessage) = input { receive(from, message) }

    /** Runs [block] on the node, for instance `{ ready(true) }`, and executes the outputs. */
    suspend fun input(block: FleetNode.() -> List<FleetOutput>) {
        lock.withLock { node.block().forEach(::execute) }
    }

    /** Reads from the node under the lock. */
    suspend fun <T> read(block: FleetNode.() -> T): T = lock.withLock { node.block() }

    /** Makes a change and waits for its result. */
    suspend fun change(request: ChangeRequest): ChangeResult {
        val outcome = CompletableDeferred<ChangeResult>()
        outcomes[request.changeId] = outcome
        inForceTimes[request.changeId] = CompletableDeferred()
        input { change(request) }
        val result = outcome.await()
        val written = result is ChangeResult.Accepted || result is ChangeResult.Unconfirmed
        if (!written) inForceTimes.remove(request.changeId)
        return result
    }

    /**
     * Waits until the change [changeId], written here, is in force everywhere. Returns the time since its acceptance;
     * null when the change is unknown.
     */
    suspend fun awaitInForce(changeId: String): Duration? = inForceTimes[changeId]?.await()

    /** Discards the state that [awaitInForce] needs for [changeId]. */
    fun forget(changeId: String) {
        inForceTimes.remove(changeId)
    }

    private fun execute(output: FleetOutput) {
        when (output) {
            is FleetOutput.Send -> send(output)
            is FleetOutput.Notify -> notify(output.event)
            is FleetOutput.Perform -> scope?.let { perform(it, output) } ?: deferred.add(output)
        }
    }

    private fun perform(scope: CoroutineScope, output: FleetOutput.Perform) {
        scope.launch {
            val result = ports.perform(output.operation)
            input { storeCompleted(output.id, result) }
        }
    }

    private fun notify(event: FleetEvent) {
        when (event) {
            is FleetEvent.ChangeCompleted -> outcomes.remove(event.changeId)?.complete(event.result)
            is FleetEvent.InForceEverywhere -> inForceTimes[event.changeId]?.complete(event.after)
            else -> Unit
        }
        onEvent(event)
    }

    private companion object {
        val TICK_INTERVAL = 100.milliseconds
    }
}
