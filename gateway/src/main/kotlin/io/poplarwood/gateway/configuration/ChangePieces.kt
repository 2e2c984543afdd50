package io.poplarwood.gateway.configuration

import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/**
 * Splits a configuration change into compressed pieces of bounded size and joins them. Two entries that have the same
 * two desired states make the same pieces, so a receiver can take each piece from another sender.
 */
internal object ChangePieces {
    /** Number of routes, added and removed together, in one piece. */
    const val ROUTES_PER_PIECE: Int = 400

    private val cbor = Cbor { ignoreUnknownKeys = true }

    /** The pieces of [change], at least one. */
    fun split(change: ConfigurationChange): List<ByteArray> {
        val header = ChangeHeader(
            change.version,
            change.services.map(ServiceRow::of),
            LimitsRow.of(change.limits),
        )
        val removed = change.removed.map { KeyRow(it.host, it.prefix) }.chunked(ROUTES_PER_PIECE)
        val added = change.added.map(RouteRow::of).chunked(ROUTES_PER_PIECE)
        val contents = removed.map { PieceContent(removed = it) } + added.map { PieceContent(added = it) }
        val first = contents.firstOrNull() ?: PieceContent()
        return (listOf(PieceContent(header, first.removed, first.added)) + contents.drop(1)).map(::pack)
    }

    /** The change whose pieces are [pieces], in order; null when a piece cannot be decoded. */
    fun join(pieces: List<ByteArray>, from: Long, to: Long, digest: Long): ConfigurationChange? {
        val contents = pieces.map { unpack(it) ?: return null }
        val header = contents.firstOrNull()?.header ?: return null
        return ConfigurationChange(
            from = from,
            to = to,
            version = header.version,
            services = header.services.map { it.toSpec() },
            limits = header.limits.toLimits(),
            removed = contents.flatMap { content -> content.removed.map { it.toKey() } },
            added = contents.flatMap { content -> content.added.map { it.toRoute() } },
            digest = digest,
        )
    }

    private fun pack(content: PieceContent): ByteArray = Compression.pack(cbor.encodeToByteArray(content))

    private fun unpack(piece: ByteArray): PieceContent? = try {
        Compression.unpack(piece)?.let { cbor.decodeFromByteArray<PieceContent>(it) }
    } catch (e: SerializationException) {
        null
    } catch (e: IllegalArgumentException) {
        null
    }
}
