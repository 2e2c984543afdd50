package io.poplarwood.entry.http

import io.poplarwood.api.outcome.Refusal
import io.poplarwood.entry.forward.CallerFault

/** The caller's body cannot be taken in; [refusal] says why. */
internal class BodyFailure(val refusal: Refusal) : CallerFault(refusal.reason.wire)
