package io.poplarwood.gateway.route

import io.poplarwood.api.id.ServiceName

/**
 * Divides the requests of each route among its services by smooth weighted round robin, which keeps the shares exact
 * over short spans too. An entry starts each route at a random point of the round, so that many entries together do not
 * favour the first service.
 *
 * @param startPoint random part of a round, 0 to 1
 */
internal class SplitPicker(private val startPoint: () -> Double) {
    private val credits = HashMap<String, DoubleArray>()
    private var version: Long? = null

    /** Service that receives the next request of [route]. */
    fun next(route: Route): ServiceName {
        val shares = route.shares
        if (shares.size == 1) return shares.first().service
        val key = route.host + route.prefix
        val credit = credits[key]?.takeIf { it.size == shares.size } ?: initialCredits(key, shares)
        return shares[advance(credit, shares)].service
    }

    /** Begins the rounds of all routes anew if [version] of the desired state is another one, which may lack routes. */
    fun useVersion(version: Long) {
        if (version == this.version) return
        this.version = version
        credits.clear()
    }

    /** Credits after a random part of a round. */
    private fun initialCredits(key: String, shares: List<ServiceShare>): DoubleArray {
        val credit = DoubleArray(shares.size)
        val steps = (startPoint() * minOf(totalWeight(shares), MAX_START_STEPS)).toInt()
        repeat(steps) { advance(credit, shares) }
        credits[key] = credit
        return credit
    }

    private fun advance(credit: DoubleArray, shares: List<ServiceShare>): Int {
        var best = 0
        for (i in shares.indices) {
            credit[i] += shares[i].weight.toDouble()
            if (credit[i] > credit[best]) best = i
        }
        credit[best] -= totalWeight(shares)
        return best
    }

    /** The sum may exceed an [Int]. */
    private fun totalWeight(shares: List<ServiceShare>): Double = shares.sumOf { it.weight.toDouble() }

    private companion object {
        const val MAX_START_STEPS = 1_000.0
    }
}
