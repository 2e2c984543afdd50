package io.poplarwood.gateway.decision

/**
 * How much may be sent beyond the first attempt of each request.
 *
 * @property ratio further attempts allowed for each request
 * @property slack further attempts in a window allowed to all entries together
 */
internal data class RepeatLimits(val ratio: Double, val slack: Double)
