package io.poplarwood.peer.link

import io.poplarwood.fleet.message.Peer
import io.poplarwood.peer.message.PeerMessage
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** One frame of a link. The first four are the handshake. */
@Serializable
internal sealed interface LinkFrame {
    /** Opens a link: who dials, the protocol versions it speaks, and its challenge. */
    @Serializable
    @SerialName("hello")
    class Hello(
        val oldest: Int,
        val newest: Int,
        val peer: Peer,
        @ByteString val challenge: ByteArray,
    ) : LinkFrame

    /** Answers [Hello]: the version to speak, the dialler's challenge answered, and the acceptor's challenge. */
    @Serializable
    @SerialName("challenge")
    class Challenge(
        val version: Int,
        val peer: Peer,
        @ByteString val challenge: ByteArray,
        @ByteString val proof: ByteArray,
    ) : LinkFrame

    /** Answers the acceptor's challenge. */
    @Serializable
    @SerialName("proof")
    class Proof(
        @ByteString val proof: ByteArray,
    ) : LinkFrame

    /** Ends the handshake. */
    @Serializable
    @SerialName("welcome")
    data object Welcome : LinkFrame

    /** Refuses the link. */
    @Serializable
    @SerialName("refused")
    data class Refused(val rejection: Rejection) : LinkFrame

    /** Sent every 500 ms while nothing else is to be said. */
    @Serializable
    @SerialName("beat")
    data object Heartbeat : LinkFrame

    /** Carries a message. */
    @Serializable
    @SerialName("msg")
    data class Message(val message: PeerMessage) : LinkFrame
}
