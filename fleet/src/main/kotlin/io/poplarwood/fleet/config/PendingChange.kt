package io.poplarwood.fleet.config

import kotlin.time.Duration

/** A request that waits for its transaction. */
internal class PendingChange(val request: ChangeRequest, val queuedAt: Duration)
