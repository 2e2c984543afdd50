package io.poplarwood.decision.dispatch

/** Identifies a call at its dispatcher. */
@JvmInline
value class CallId(val value: Long)
