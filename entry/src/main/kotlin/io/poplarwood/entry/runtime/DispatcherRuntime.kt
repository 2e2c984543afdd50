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
 * call needs no hop to another thread. Commands for calls go to the coroutine that waits in [run]. All others go
 * to [outside], which must not block and must not call back into this runtime.
 *
 * @param outside takes [Command.Send], [Command.Probe] and [Command.ReportCrash]
 */
class DispatcherRuntime(
    create: (emit: (Command) -> Unit) -> Dispatcher,
    private val outside: (Command) -> Unit,
) : CallRunner {
    private val lock = ReentrantLock()
    private val waiting = ConcurrentHashMap<Long, Channel<Command>>()
    private val dispatcher = create(::route)

    override suspend fun run(call: Call, attempt: suspend (Command.Dispatch) -> AttemptObservation): Refusal? {
        val steps = Channel<Command>(Channel.UNLIMITED)
        waiting[call.id.value] = steps
        try {
            enter { offer(call) }
            return follow(call.id, steps, attempt)
        } finally {
            waiting.remove(call.id.value)
        }
    }

    /** Calls the dispatcher under the lock. */
    fun <T> enter(block: Dispatcher.() -> T): T = lock.withLock { dispatcher.block() }

    private suspend fun follow(
        call: CallId,
        steps: Channel<Command>,
        attempt: suspend (Command.Dispatch) -> AttemptObservation,
    ): Refusal? {
        var running: Command.Dispatch? = null
        var ended = false
        try {
            while (true) {
                when (val step = steps.receive()) {
                    is Command.Dispatch -> {
                        running = step
                        val evidence = attempt(step)
                        running = null
                        enter { attemptEnded(call, step.attempt, evidence) }
                    }
                    is Command.Refuse -> {
                        ended = true
                        return step.refusal
                    }
                    else -> {
                        ended = true
                        return null
                    }
                }
            }
        } finally {
            if (!ended) withdraw(call, running, steps)
        }
    }

    /** Every slot that the dispatcher gave out is returned, also one whose command was not received yet. */
    private fun withdraw(call: CallId, running: Command.Dispatch?, steps: Channel<Command>) = enter {
        cancel(call)
        var dispatch = running ?: steps.tryReceive().getOrNull() as? Command.Dispatch
        while (dispatch != null) {
            attemptEnded(call, dispatch.attempt, CANCELLED)
            dispatch = steps.tryReceive().getOrNull() as? Command.Dispatch
        }
    }

    private fun route(command: Command) {
        when (command) {
            is Command.Dispatch -> deliver(command.call, command)
            is Command.Refuse -> deliver(command.call, command)
            is Command.Complete -> deliver(command.call, command)
            else -> outside(command)
        }
    }

    private fun deliver(call: CallId, command: Command) {
        waiting[call.value]?.trySend(command)
    }

    private companion object {
        val CANCELLED = AttemptObservation(AttemptResult.CANCELLED, Duration.ZERO)
    }
}
