package io.poplarwood.entry.http

import io.poplarwood.api.outcome.Refusal
import java.io.IOException

/** The caller's body cannot be taken in; [refusal] says why. */
internal class BodyFailure(val refusal: Refusal) : IOException(refusal.reason.wire)
