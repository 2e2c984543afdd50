package io.poplarwood.peer.link

import kotlinx.serialization.cbor.Cbor

/** Encodes frames as a 4-byte big-endian length and a CBOR body. */
internal object FrameCodec {
    /** Largest body, in bytes. */
    const val MAX_BYTES = 256 * 1024

    /** Bytes of the length. */
    const val LENGTH_BYTES = 4

    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun encode(frame: LinkFrame): ByteArray = cbor.encodeToByteArray(LinkFrame.serializer(), frame)

    /** The frame in [bytes]; null when there is none. The decoder reports damage by several exception types. */
    fun decode(bytes: ByteArray): LinkFrame? =
        runCatching { cbor.decodeFromByteArray(LinkFrame.serializer(), bytes) }.getOrNull()
}
