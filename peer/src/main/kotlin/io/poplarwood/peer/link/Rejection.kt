package io.poplarwood.peer.link

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Why a link was refused or closed, or a message was not sent. */
@Serializable
enum class Rejection {
    /** A frame longer than [FrameCodec.MAX_BYTES]. */
    @SerialName("oversized")
    OVERSIZED,

    /** A frame that is not a message of the protocol, or not one that may come now. */
    @SerialName("malformed")
    MALFORMED,

    /** The other side does not hold the shared secret. */
    @SerialName("unauthenticated")
    UNAUTHENTICATED,

    /** The other side's name is not admitted. */
    @SerialName("unknownSender")
    UNKNOWN_SENDER,

    /** No protocol version in common. */
    @SerialName("version")
    VERSION,

    /** Nothing was heard for [LinkTimings.silenceTimeout]. */
    @SerialName("silent")
    SILENT,

    /** The send queue was full; the message was dropped. */
    @SerialName("queueFull")
    QUEUE_FULL,

    /** The other side did not accept the connection. */
    @SerialName("unreachable")
    UNREACHABLE,
}
