package io.poplarwood.decision.routing

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.work.Rank
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Messages by which entries move slot leases of one service among each other. */
@Serializable
sealed interface SlotMessage {
    /** The sender has [count] calls waiting, the most urgent of [rank], and holds no free lease. */
    @Serializable
    @SerialName("want")
    data class Want(val rank: Rank, val count: Int, val sequence: Long) : SlotMessage

    /** Hands [count] leases of [upstream] to the receiver; [idle] is what the sender has left. */
    @Serializable
    @SerialName("give")
    data class Give(val upstream: UpstreamId, val count: Int, val idle: Int, val sequence: Long) : SlotMessage

    /** Tells an upstream's home entry what the sender holds; an absent upstream is held no more. */
    @Serializable
    @SerialName("renew")
    data class Renew(val held: List<Holding>, val idle: Int) : SlotMessage

    /** The home entry withdraws leases that its view does not allow; the receiver drops [count] of them. */
    @Serializable
    @SerialName("revoke")
    data class Revoke(val upstream: UpstreamId, val count: Int) : SlotMessage

    /** Leases of one upstream that [holder] has. */
    @Serializable
    @SerialName("holding")
    data class Holding(val upstream: UpstreamId, val count: Int, val holder: EntryRef? = null)
}
