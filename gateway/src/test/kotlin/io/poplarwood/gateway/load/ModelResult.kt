package io.poplarwood.gateway.load

/**
 * @property inTime share of all requests that were answered within their target
 * @property goodput requests answered within their target, as a share of the maximum throughput of all upstreams
 * @property sheds attempts that an upstream rejected
 * @property maxEarly maximum over all entries and upstreams of the requests that the entry sent within the time
 *   for which the upstream had asked for none
 */
internal class ModelResult(val inTime: Double, val goodput: Double, val sheds: Int, val maxEarly: Int)
