package io.poplarwood.gateway.load

/**
 * @property inTime share of all requests that were answered within their target
 * @property goodput requests answered within their target, as a share of the maximum throughput of all upstreams
 * @property lateRequests requests that an entry sent to an upstream later than the drain bound after it had passed on
 *   an answer with the leaving mark
 * @property lost attempts that found their upstream ended, or were running there when it ended
 */
internal class ReleaseResult(val inTime: Double, val goodput: Double, val lateRequests: Int, val lost: Int)
