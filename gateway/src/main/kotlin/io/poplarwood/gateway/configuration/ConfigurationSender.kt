package io.poplarwood.gateway.configuration

import io.poplarwood.api.time.Ticker

/** Sends configuration changes to the peers that [admission] admits, in pieces. */
internal class ConfigurationSender(
    private val history: ConfigurationHistory,
    private val admission: TransferAdmission<ConfigurationVersion>,
    private val background: BackgroundWork,
    private val ticker: Ticker,
    private val log: TransferLog,
) {
    private class EncodedChange(val change: ConfigurationChange, val pieces: List<ByteArray>)

    private val encoded =
        EncodedOnce<Pair<ConfigurationVersion?, ConfigurationVersion>, EncodedChange>(MAX_ENCODED_CHANGES)

    /** The reply to [query]. */
    suspend fun reply(query: TransferQuery): TransferReply {
        val target = targetOf(query) ?: return TransferReply.Nothing
        if (!admission.admit(query.receiver)) {
            log.busy()
            return TransferReply.Busy(admission.referrals { it >= target.version })
        }
        val from = query.known.firstNotNullOfOrNull { history[it] }
        val change = encode(from, target)
        val bytes = change.pieces.getOrNull(query.index)
        if (bytes == null) {
            admission.release(query.receiver)
            return TransferReply.Nothing
        }
        if (query.index == change.pieces.lastIndex) {
            admission.finished(query.receiver, target.version, bytes.size)
        }
        log.sent(bytes.size)
        return TransferReply.Piece(
            from?.version,
            target.version,
            change.pieces.size,
            change.change.digest,
            bytes,
        )
    }

    private fun targetOf(query: TransferQuery): Configuration? {
        val target = if (query.to == null) history.newest else history[query.to]
        val known = query.known.firstOrNull() ?: ConfigurationVersion.NONE
        return target?.takeIf { it.version > known }
    }

    private suspend fun encode(from: Configuration?, to: Configuration): EncodedChange =
        encoded.get(from?.version to to.version) {
            val startedAt = ticker.now()
            val change = background.compute {
                val change = ConfigurationChange.between(from, to)
                EncodedChange(change, ChangePieces.split(change))
            }
            log.encoded(change.change, change.pieces.sumOf { it.size }, ticker.now() - startedAt)
            change
        }

    private companion object {
        /** The versions of a history, as entries may ask for the change from each of them. */
        const val MAX_ENCODED_CHANGES = 16
    }
}
