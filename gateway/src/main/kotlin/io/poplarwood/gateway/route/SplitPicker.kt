package io.poplarwood.gateway.route

import io.poplarwood.api.id.ServiceName

/**
 * Divides the requests of each route among its services by smooth weighted round robin, which keeps the shares exact
 * over short spans too. An entry starts each route at a random point, so that many entries together do not favour the
 * first service.
 */
internal class SplitPicker(private val startAt: () -> Double) {
    private val credits = HashMap<String, DoubleArray>()

    /** The service that takes the next request of [route]. */
    fun next(route: Route): ServiceName {
        val shares = route.shares
        if (shares.size == 1) return shares.first().service
        val key = route.host + route.prefix
        val credit = credits[key]?.takeIf { it.size == shares.size } ?: fresh(key, shares)
        val total = shares.sumOf { it.weight }
        var best = 0
        for (i in shares.indices) {
            credit[i] += shares[i].weight.toDouble()
            if (credit[i] > credit[best]) best = i
        }
        credit[best] -= total.toDouble()
        return shares[best].service
    }

    /** Forgets routes that are gone; called when another version comes into force. */
    fun reset() = credits.clear()

    private fun fresh(key: String, shares: List<ServiceShare>): DoubleArray {
        val offset = startAt()
        return DoubleArray(shares.size) {
            shares[it].weight * offset * if (it ==
                0
            ) {
                -1
            } else {
                1
            }
        }.also { credits[key] = it }
    }
}
