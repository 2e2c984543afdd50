package io.poplarwood.peer.link

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Why a link was rejected or closed, or a message was dropped. */
@Serializable
enum class Rejection {
    /** The frame body is longer than [FrameCodec.MAX_BYTES]. */
    @SerialName("oversized")
    OVERSIZED,

    /** The frame cannot be decoded or is not allowed in the current state of the link. */
    @SerialName("malformed")
    MALFORMED,

    /** The peer did not prove possession of the shared secret, or too many handshakes were pending. */
    @SerialName("unauthenticated")
    UNAUTHENTICATED,

    /** The peer proved possession of the secret but is not admitted to the cell. */
    @SerialName("unknownSender")
    UNKNOWN_SENDER,

    /** The peers have no protocol version in common. */
    @SerialName("version")
    VERSION,

    /** No frame was received within [LinkTimings.silenceTimeout], or the handshake timed out. */
    @SerialName("silent")
    SILENT,

    /** The send queue was full; the message was dropped. */
    @SerialName("queueFull")
    QUEUE_FULL,

    /** No link to the entry could be opened, or writing to the link failed; the message was dropped. */
    @SerialName("unreachable")
    UNREACHABLE,
}
