package io.poplarwood.entry.runtime

import io.poplarwood.api.outcome.Refusal
import io.poplarwood.decision.dispatch.Call
import io.poplarwood.decision.dispatch.Command
import io.poplarwood.decision.routing.AttemptObservation

/** Runs one call according to the decisions of its service. */
interface CallRunner {
    /**
     * Runs [call] until it has its final answer.
     *
     * [attempt] is called for each attempt that the decisions choose, one after the other. [attempt] sends the request
     * to the chosen upstream and passes the answer on to the caller, unless the returned evidence says that the attempt
     * did not run or was lost.
     *
     * Cancelling the coroutine cancels the call and a running [attempt].
     *
     * @return null when the upstream's answer was passed on to the caller, otherwise the refusal to respond with
     */
    suspend fun run(call: Call, attempt: suspend (Command.Dispatch) -> AttemptObservation): Refusal?
}
