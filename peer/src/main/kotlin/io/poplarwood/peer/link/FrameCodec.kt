package io.poplarwood.peer.link

import kotlinx.serialization.cbor.Cbor

/** Encodes and decodes the CBOR body of a frame; on a connection a 4-byte big-endian length precedes the body. */
internal object FrameCodec {
    /** Largest frame body, in bytes. */
    const val MAX_BYTES = 256 * 1024

    /** Size of the length field, in bytes. */
    const val LENGTH_BYTES = 4

    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun encode(frame: LinkFrame): ByteArray = cbor.encodeToByteArray(LinkFrame.serializer(), frame)

    /** Decodes the frame in [bytes]; null when malformed. The CBOR decoder throws several types of exception. */
    fun decode(bytes: ByteArray): LinkFrame? =
        runCatching { cbor.decodeFromByteArray(LinkFrame.serializer(), bytes) }.getOrNull()
}
