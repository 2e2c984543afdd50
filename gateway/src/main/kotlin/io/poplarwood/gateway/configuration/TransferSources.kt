package io.poplarwood.gateway.configuration

import io.poplarwood.api.time.Ticker
import kotlin.time.Duration

/**
 * Selects the peer that is asked next for rows of the store.
 *
 * @param self address of this entry for other entries
 * @param holders addresses of peers that are known to have rows of a version that is useful, those to ask first at the
 *   front
 */
internal class TransferSources<V>(
    private val self: String,
    private val holders: (isUseful: (V) -> Boolean) -> List<String>,
    private val ticker: Ticker,
) {
    private val avoidUntil = HashMap<String, Duration>()

    /** Addresses that busy peers named, to be asked before others. */
    private val referred = ArrayDeque<String>()

    /** Forgets the peers that busy peers named. */
    fun clearReferrals() = referred.clear()

    /** Adds the peers that a busy peer named; returns whether any of them can be asked. */
    fun refer(addresses: List<String>): Boolean {
        referred.addAll(addresses.filter { it != self && it !in referred && it !in avoidUntil })
        return referred.isNotEmpty()
    }

    /** Asks [peer] nothing for [pause]. */
    fun avoid(peer: String, pause: Duration) {
        avoidUntil[peer] = ticker.now() + pause
    }

    /** The peer to ask for rows of a version that [isUseful]; null when there is none now. */
    fun next(isUseful: (V) -> Boolean): String? {
        val now = ticker.now()
        avoidUntil.values.removeIf { it <= now }
        while (true) {
            val peer = referred.removeFirstOrNull() ?: break
            if (peer !in avoidUntil) return peer
        }
        return holders(isUseful).firstOrNull { it !in avoidUntil }
    }
}
