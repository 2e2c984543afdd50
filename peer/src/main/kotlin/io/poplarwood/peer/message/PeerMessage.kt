package io.poplarwood.peer.message

import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.id.UpstreamId
import io.poplarwood.decision.routing.LeaseMessage
import io.poplarwood.fleet.message.FleetMessage
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** Everything that entries say to each other over an authenticated link. */
@Serializable
sealed interface PeerMessage {
    /** Membership, configuration and upstream states. */
    @Serializable
    @SerialName("fleet")
    data class Fleet(val message: FleetMessage) : PeerMessage

    /** Slot leases of [service]. */
    @Serializable
    @SerialName("slot")
    data class Slot(val service: ServiceName, val message: LeaseMessage) : PeerMessage

    /** A request with [fingerprint] was running on [upstream] when its connection was lost. */
    @Serializable
    @SerialName("crash")
    data class CrashNews(val fingerprint: Long, val upstream: UpstreamId) : PeerMessage

    /** A request with [fingerprint] completed, so it is not the cause of crashes. */
    @Serializable
    @SerialName("crashCleared")
    data class CrashCleared(val fingerprint: Long) : PeerMessage

    /** Begins a request for the owner of its key. Body chunks follow as [BodyChunk]. */
    @Serializable
    @SerialName("forward")
    data class Forward(val id: Long, val head: ForwardHead) : PeerMessage

    /** Begins the answer to the [Forward] with [id]. Body chunks follow as [BodyChunk]. */
    @Serializable
    @SerialName("forwardAnswer")
    data class ForwardAnswer(val id: Long, val head: ForwardAnswerHead) : PeerMessage

    /**
     * Part [index] of the body of a request or an answer; [last] ends it, and only then is it complete. A gap in the
     * indices means that a frame was lost with its link.
     */
    @Serializable
    @SerialName("body")
    class BodyChunk(
        val id: Long,
        val ofAnswer: Boolean,
        val index: Int,
        @ByteString val bytes: ByteArray,
        val last: Boolean,
    ) : PeerMessage

    /** The receiver of a body takes [chunks] more of it. */
    @Serializable
    @SerialName("credit")
    data class BodyCredit(val id: Long, val ofAnswer: Boolean, val chunks: Int) : PeerMessage

    /** The sender ends the exchange early, as the caller, the upstream or the owner failed. */
    @Serializable
    @SerialName("forwardEnd")
    data class ForwardEnd(val id: Long, val ofAnswer: Boolean) : PeerMessage
}
