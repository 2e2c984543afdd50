package io.poplarwood.gateway.runtime

import io.poplarwood.gateway.http.Answer

/** The end of a request: what its caller gets, and why. */
internal class RequestResult(val outcome: Outcome, val answer: Answer)
