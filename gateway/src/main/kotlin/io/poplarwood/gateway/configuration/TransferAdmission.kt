package io.poplarwood.gateway.configuration

import io.poplarwood.api.time.Ticker

/**
 * Decides which peers receive rows from this entry at the same time, as many as its link bears. A peer that is not
 * admitted is told which entries have received the rows from this entry, so that they spread like a tree.
 *
 * @param takesCallers whether the entry with this address takes callers
 */
internal class TransferAdmission<V : Comparable<V>>(
    private val slots: TransferSlots,
    private val takesCallers: (address: String) -> Boolean,
    private val ticker: Ticker,
) {
    private val holders = ArrayDeque<String>()
    private var heldVersion: V? = null

    /** Whether the peer at the address [receiver] may be served now. */
    fun admit(receiver: String): Boolean = slots.admit(receiver, takesCallers(receiver), ticker.now())

    /** Ends the transfer to [receiver], which did not receive everything. */
    fun release(receiver: String) = slots.release(receiver)

    /** Ends the transfer to [receiver] with [bytes], after which it has everything up to [version]. */
    fun finished(receiver: String, version: V, bytes: Int) {
        slots.finished(receiver, bytes, ticker.now())
        val held = heldVersion
        if (held != null && version < held) return
        if (version != held) holders.clear()
        heldVersion = version
        holders.remove(receiver)
        holders.addLast(receiver)
        if (holders.size > MAX_HOLDERS) holders.removeFirst()
    }

    /** Some entries that have received a version that [isUseful], others at each call. */
    fun referrals(isUseful: (V) -> Boolean): List<String> {
        if (heldVersion?.let(isUseful) != true) return emptyList()
        return List(minOf(MAX_REFERRALS, holders.size)) { holders.removeFirst().also(holders::addLast) }
    }

    private companion object {
        const val MAX_HOLDERS = 16
        const val MAX_REFERRALS = 3
    }
}
