package io.poplarwood.peer.link

import io.poplarwood.fleet.message.Peer
import io.poplarwood.peer.message.PeerMessage
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** One frame of a link. [Hello], [Challenge], [Proof] and [Welcome] make up the handshake. */
@Serializable
internal sealed interface LinkFrame {
    /** Starts the handshake: the dialling peer, the range of protocol versions that it supports, and its challenge. */
    @Serializable
    @SerialName("hello")
    class Hello(
        val oldest: Int,
        val newest: Int,
        val peer: Peer,
        @ByteString val challenge: ByteArray,
    ) : LinkFrame

    /** Answers [Hello]: the version to use, the accepting peer, its own challenge, and its proof. */
    @Serializable
    @SerialName("challenge")
    class Challenge(
        val version: Int,
        val peer: Peer,
        @ByteString val challenge: ByteArray,
        @ByteString val proof: ByteArray,
    ) : LinkFrame

    /** Answers [Challenge] with the proof of the dialling peer. */
    @Serializable
    @SerialName("proof")
    class Proof(
        @ByteString val proof: ByteArray,
    ) : LinkFrame

    /** Accepts the link and completes the handshake. */
    @Serializable
    @SerialName("welcome")
    data object Welcome : LinkFrame

    /** Rejects the link during the handshake. */
    @Serializable
    @SerialName("refused")
    data class Refused(val rejection: Rejection) : LinkFrame

    /** Sent after [LinkTimings.heartbeatInterval] without another frame. */
    @Serializable
    @SerialName("beat")
    data object Heartbeat : LinkFrame

    /** Carries a message of the application. */
    @Serializable
    @SerialName("msg")
    data class Message(val message: PeerMessage) : LinkFrame
}
