package io.poplarwood.gateway.decision.crash

/** A [loss] under requests with [fingerprint]. */
internal data class RequestLoss(val fingerprint: Long, val loss: CrashLoss)
