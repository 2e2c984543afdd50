package io.poplarwood.gateway.configuration

import io.poplarwood.api.time.Ticker
import kotlinx.coroutines.CompletableDeferred

/**
 * Sends configuration changes to peers, in pieces, to a bounded number of them at a time. A peer that finds no slot is
 * told which entries have received the change from this entry, so that it spreads like a tree.
 *
 * @param takesCallers whether the entry with this address takes callers
 */
internal class ConfigurationSender(
    private val history: ConfigurationHistory,
    private val slots: TransferSlots,
    private val takesCallers: (address: String) -> Boolean,
    private val background: BackgroundWork,
    private val ticker: Ticker,
    private val log: TransferLog,
) {
    private class EncodedChange(val change: ConfigurationChange, val pieces: List<ByteArray>)

    private val encoded = LinkedHashMap<Pair<Long, Long>, CompletableDeferred<EncodedChange>>()
    private val holders = ArrayDeque<String>()
    private var heldVersion = 0L

    /** The reply to [query]. */
    suspend fun reply(query: TransferQuery): TransferReply {
        val target = targetOf(query) ?: return TransferReply.Nothing
        if (!slots.admit(query.receiver, takesCallers(query.receiver), ticker.now())) {
            log.busy()
            return TransferReply.Busy(referrals(target.storeVersion))
        }
        val from = history[query.from]
        val change = encode(from, target)
        val bytes = change.pieces.getOrNull(query.index)
        if (bytes == null) {
            slots.release(query.receiver)
            return TransferReply.Nothing
        }
        if (query.index == change.pieces.lastIndex) finished(query.receiver, target.storeVersion)
        log.sent(bytes.size)
        return TransferReply.Piece(
            from?.storeVersion ?: 0,
            target.storeVersion,
            change.pieces.size,
            change.change.digest,
            bytes,
        )
    }

    private fun targetOf(query: TransferQuery): Configuration? {
        val target = if (query.to == 0L) history.newest else history[query.to]
        return target?.takeIf { it.storeVersion > query.from }
    }

    /** The pieces between two versions are made once, however many peers ask for them. */
    private suspend fun encode(from: Configuration?, to: Configuration): EncodedChange {
        val key = (from?.storeVersion ?: 0) to to.storeVersion
        encoded.remove(key)?.let { known ->
            encoded[key] = known
            return known.await()
        }
        val result = CompletableDeferred<EncodedChange>()
        encoded[key] = result
        if (encoded.size > MAX_ENCODED_CHANGES) encoded.remove(encoded.keys.first())
        val startedAt = ticker.now()
        try {
            val change = background.compute {
                val change = ConfigurationChange.between(from, to)
                EncodedChange(change, ChangePieces.split(change))
            }
            log.encoded(change.change, change.pieces.sumOf { it.size }, ticker.now() - startedAt)
            result.complete(change)
            return change
        } catch (e: Throwable) {
            encoded.remove(key)
            result.completeExceptionally(e)
            throw e
        }
    }

    private fun finished(receiver: String, version: Long) {
        slots.release(receiver)
        if (version < heldVersion) return
        if (version > heldVersion) holders.clear()
        heldVersion = version
        holders.remove(receiver)
        holders.addLast(receiver)
        if (holders.size > MAX_HOLDERS) holders.removeFirst()
    }

    /** Some entries that have [version], others at each call. */
    private fun referrals(version: Long): List<String> {
        if (heldVersion < version) return emptyList()
        return List(minOf(MAX_REFERRALS, holders.size)) { holders.removeFirst().also(holders::addLast) }
    }

    private companion object {
        /** The versions of a history, as entries may ask for the change from each of them. */
        const val MAX_ENCODED_CHANGES = 16
        const val MAX_HOLDERS = 16
        const val MAX_REFERRALS = 3
    }
}
