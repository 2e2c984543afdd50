package io.poplarwood.gateway.configuration

import io.poplarwood.api.id.ServiceName
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/**
 * Splits a configuration change into compressed pieces of bounded size and joins them. Two entries that have the same
 * two desired states make the same pieces, so a receiver can take each piece from another sender.
 */
internal object ChangePieces {
    /** Number of routes, added or removed, in one piece, and of services. */
    const val ROUTES_PER_PIECE: Int = 400

    private val cbor = Cbor { ignoreUnknownKeys = true }

    /** The pieces of [change], at least one. */
    fun split(change: ConfigurationChange): List<ByteArray> {
        val header = ChangeHeader(LimitsRow.of(change.limits))
        val removedServices = change.removedServices.chunked(ROUTES_PER_PIECE) { names -> names.map { it.value } }
        val addedServices = change.addedServices.chunked(ROUTES_PER_PIECE) { it.map(ServiceRow::of) }
        val removed = change.removed.chunked(ROUTES_PER_PIECE) { keys -> keys.map { KeyRow(it.host, it.prefix) } }
        val added = change.added.chunked(ROUTES_PER_PIECE) { it.map(RouteRow::of) }
        val routePieces = removed.size + added.size
        return List(maxOf(1, removedServices.size, addedServices.size, routePieces)) { i ->
            pack(
                PieceContent(
                    header.takeIf { i == 0 },
                    removedServices.getOrElse(i) { emptyList() },
                    addedServices.getOrElse(i) { emptyList() },
                    removed.getOrElse(i) { emptyList() },
                    added.getOrElse(i - removed.size) { emptyList() },
                ),
            )
        }
    }

    /** The change whose pieces are [pieces], in order; null when a piece cannot be decoded. */
    fun join(
        pieces: List<ByteArray>,
        from: ConfigurationVersion?,
        to: ConfigurationVersion,
        digest: Long,
    ): ConfigurationChange? {
        val contents = pieces.map { unpack(it) ?: return null }
        val header = contents.firstOrNull()?.header ?: return null
        return ConfigurationChange(
            from = from,
            to = to,
            limits = header.limits.toLimits(),
            removedServices = contents.flatMap { content -> content.removedServices.map(::ServiceName) },
            addedServices = contents.flatMap { content -> content.addedServices.map { it.toSpec() } },
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
