package io.poplarwood.gateway.load

/**
 * @property inAim share of all requests that were answered within their aim
 * @property perCapacity answers within their aim, as a share of what all upstreams finish at most
 * @property sheds requests that an upstream turned away
 * @property mostEarly requests of one entry that reached an upstream within the time for which it wanted nothing
 */
internal class ModelResult(val inAim: Double, val perCapacity: Double, val sheds: Int, val mostEarly: Int)
