package io.poplarwood.entry.runtime

import io.poplarwood.api.outcome.Refusal
import io.poplarwood.decision.dispatch.Call
import io.poplarwood.decision.dispatch.CallId
import io.poplarwood.decision.dispatch.Command
import io.poplarwood.decision.dispatch.Dispatcher
import io.poplarwood.decision.routing.AttemptObservation
import io.poplarwood.decision.routing.AttemptResult
import kotlinx.coroutines.channels.Channel
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration

/**
 * Runs one [Dispatcher] for concurrent callers.
 *
 * A lock admits one thread at a time. The dispatcher never blocks, so the lock is held for microseconds and a
 * call needs no switch to another thread. Commands for calls go to the coroutine that waits in [run]. All other
 * commands go to [executeCommand], which must not block and must not call back into this runtime.
 *
 * @param executeCommand executes [Command.Send], [Command.Probe] and [Command.ReportCrash]
 */
class DispatcherRuntime(
    create: (emit: (Command) -> Unit) -> Dispatcher,
    private val executeCommand: (Command) -> Unit,
) : CallRunner {
    private val lock = ReentrantLock()
    private val commandQueues = ConcurrentHashMap<Long, Channel<Command>>()
    private val dispatcher = create(::route)

    override suspend fun run(call: Call, attempt: suspend (Command.Dispatch) -> AttemptObservation): Refusal? {
        val commands = Channel<Command>(Channel.UNLIMITED)
        commandQueues[call.id.value] = commands
        try {
            withDispatcher { offer(call) }
            return processCommands(call.id, commands, attempt)
        } finally {
            commandQueues.remove(call.id.value)
        }
    }

    /** Runs [block] on the dispatcher under the lock. */
    fun <T> withDispatcher(block: Dispatcher.() -> T): T = lock.withLock { dispatcher.block() }

    private suspend fun processCommands(
        call: CallId,
        commands: Channel<Command>,
        attempt: suspend (Command.Dispatch) -> AttemptObservation,
    ): Refusal? {
        var running: Command.Dispatch? = null
        var ended = false
        try {
            while (true) {
                when (val command = commands.receive()) {
                    is Command.Dispatch -> {
                        running = command
                        val evidence = attempt(command)
                        running = null
                        withDispatcher { attemptEnded(call, command.attempt, evidence) }
                    }
                    is Command.Refuse -> {
                        ended = true
                        return command.refusal
                    }
                    else -> {
                        ended = true
                        return null
                    }
                }
            }
        } finally {
            if (!ended) cancelAndReturnSlots(call, running, commands)
        }
    }

    /** Cancels [call] and returns every slot it was granted, also one whose command was not received yet. */
    private fun cancelAndReturnSlots(
        call: CallId,
        running: Command.Dispatch?,
        commands: Channel<Command>,
    ) = withDispatcher {
        cancel(call)
        var dispatch = running ?: commands.tryReceive().getOrNull() as? Command.Dispatch
        while (dispatch != null) {
            attemptEnded(call, dispatch.attempt, CANCELLED)
            dispatch = commands.tryReceive().getOrNull() as? Command.Dispatch
        }
    }

    private fun route(command: Command) {
        when (command) {
            is Command.Dispatch -> deliverToCall(command.call, command)
            is Command.Refuse -> deliverToCall(command.call, command)
            is Command.Complete -> deliverToCall(command.call, command)
            else -> executeCommand(command)
        }
    }

    private fun deliverToCall(call: CallId, command: Command) {
        commandQueues[call.value]?.trySend(command)
    }

    private companion object {
        val CANCELLED = AttemptObservation(AttemptResult.CANCELLED, Duration.ZERO)
    }
}
