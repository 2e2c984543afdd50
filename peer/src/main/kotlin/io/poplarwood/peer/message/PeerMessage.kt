package io.poplarwood.peer.message

import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.id.UpstreamId
import io.poplarwood.decision.routing.LeaseMessage
import io.poplarwood.fleet.message.FleetMessage
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** Messages that entries exchange over an authenticated link. */
@Serializable
sealed interface PeerMessage {
    /** A message about membership, configuration or upstream states. */
    @Serializable
    @SerialName("fleet")
    data class Fleet(val message: FleetMessage) : PeerMessage

    /** A message about the slot leases of [service]. */
    @Serializable
    @SerialName("slot")
    data class Slot(val service: ServiceName, val message: LeaseMessage) : PeerMessage

    /** Reports that a request with [fingerprint] was running on [upstream] when the connection to it was lost. */
    @Serializable
    @SerialName("crash")
    data class CrashReport(val fingerprint: Long, val upstream: UpstreamId) : PeerMessage

    /** Reports that a request with [fingerprint] completed and therefore does not cause crashes. */
    @Serializable
    @SerialName("crashCleared")
    data class CrashCleared(val fingerprint: Long) : PeerMessage

    /** Starts a request to the owner of its idempotency key. The body follows as [BodyChunk] messages. */
    @Serializable
    @SerialName("forward")
    data class Forward(val id: Long, val head: ForwardHead) : PeerMessage

    /** Starts the response to the [Forward] with the same [id]. The body follows as [BodyChunk] messages. */
    @Serializable
    @SerialName("forwardAnswer")
    data class ForwardAnswer(val id: Long, val head: ForwardResponseHead) : PeerMessage

    /**
     * Part of a request or response body. The body is complete only when the part with [last] set has arrived. A gap in
     * [index] means that a frame was lost with its link.
     *
     * @property ofAnswer whether the part belongs to the response
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

    /** Grants the sender of the request body (with [ofAnswer]: response body) credit for [chunks] more chunks. */
    @Serializable
    @SerialName("credit")
    data class BodyCredit(val id: Long, val ofAnswer: Boolean, val chunks: Int) : PeerMessage

    /** Ends the exchange early: the sending side failed. With [ofAnswer] the owner sent the message. */
    @Serializable
    @SerialName("forwardEnd")
    data class ForwardEnd(val id: Long, val ofAnswer: Boolean) : PeerMessage
}
