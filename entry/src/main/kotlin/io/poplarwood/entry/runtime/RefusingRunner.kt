package io.poplarwood.entry.runtime

import io.poplarwood.api.outcome.Refusal
import io.poplarwood.decision.dispatch.Call
import io.poplarwood.decision.dispatch.Command
import io.poplarwood.decision.routing.AttemptObservation

/** Refuses every call without an attempt, for an entry that does not accept new work. */
class RefusingRunner(private val refusal: Refusal) : CallRunner {
    override suspend fun run(call: Call, attempt: suspend (Command.Dispatch) -> AttemptObservation): Refusal = refusal
}
