package io.poplarwood.entry.http

import io.poplarwood.api.outcome.Refusal
import io.poplarwood.entry.forward.CallerFailureException

/** The caller's body cannot be taken in; [refusal] says why. */
internal class RequestBodyException(val refusal: Refusal) : CallerFailureException(refusal.reason.wire)
