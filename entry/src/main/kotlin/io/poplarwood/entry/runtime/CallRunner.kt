package io.poplarwood.entry.runtime

import io.poplarwood.api.outcome.Refusal
import io.poplarwood.decision.dispatch.Call
import io.poplarwood.decision.dispatch.Command
import io.poplarwood.decision.routing.AttemptObservation

/** Takes one call through the decisions of its service. */
interface CallRunner {
    /**
     * Runs [call] until it has its final answer.
     *
     * [attempt] is called for each attempt that the decisions choose, one after the other. It sends the request to the
     * chosen upstream and hands the answer to the caller, unless the evidence it returns says that the attempt did not
     * run or was lost.
     *
     * Cancelling the coroutine withdraws the call and cancels a running [attempt].
     *
     * @return null when the upstream's answer was handed to the caller, else the answer to give
     */
    suspend fun run(call: Call, attempt: suspend (Command.Dispatch) -> AttemptObservation): Refusal?
}
