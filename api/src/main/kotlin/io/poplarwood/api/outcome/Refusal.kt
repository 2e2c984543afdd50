package io.poplarwood.api.outcome

import kotlin.time.Duration

/** A final answer of the system. [retryAfter] says when to come back; null where asking again is of no use. */
data class Refusal(val reason: RefusalReason, val retryAfter: Duration? = null)
