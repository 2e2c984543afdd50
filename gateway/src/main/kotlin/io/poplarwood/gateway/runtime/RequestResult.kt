package io.poplarwood.gateway.runtime

import io.poplarwood.gateway.http.CallerResponse

/** The final answer to a caller, with the outcome that it stands for. */
internal class RequestResult(val outcome: Outcome, val answer: CallerResponse)
