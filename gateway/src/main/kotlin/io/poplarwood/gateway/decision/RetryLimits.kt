package io.poplarwood.gateway.decision

/**
 * Limits on the attempts beyond the first one of each request.
 *
 * @property ratio further attempts allowed per request
 * @property slack further attempts allowed per window for all entries together, in addition to [ratio]
 */
internal data class RetryLimits(val ratio: Double, val slack: Double)
