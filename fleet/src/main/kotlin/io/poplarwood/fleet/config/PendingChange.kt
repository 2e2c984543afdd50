package io.poplarwood.fleet.config

import kotlin.time.Duration

/** A request that is queued for a transaction. */
internal class PendingChange(val request: ChangeRequest, val queuedAt: Duration)
