package io.poplarwood.entry.http

import io.poplarwood.api.outcome.Refusal
import io.poplarwood.entry.forward.CallerFailureException

/** The caller's request body is refused, for the reason in [refusal]. */
internal class RequestBodyException(val refusal: Refusal) : CallerFailureException(refusal.reason.wire)
