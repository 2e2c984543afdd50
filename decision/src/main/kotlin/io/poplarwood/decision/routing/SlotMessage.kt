package io.poplarwood.decision.routing

import io.poplarwood.api.id.Zone
import io.poplarwood.api.work.Rank
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Messages by which entries move slot leases of one service among each other. Serial names are short to save bytes. */
@Serializable
sealed interface SlotMessage {
    /**
     * The sender has [count] calls waiting, the most urgent of [rank], and holds no free lease.
     *
     * @property zone zone of the sender, whose upstreams suit it best
     */
    @Serializable
    @SerialName("want")
    data class Request(
        @SerialName("r") val rank: Rank,
        @SerialName("c") val count: Int,
        @SerialName("s") val sequence: Long,
        @SerialName("z") val zone: Zone? = null,
    ) : SlotMessage

    /**
     * Hands [count] leases of [upstream] to the receiver; [idle] is what the sender has left.
     *
     * @property sequence number of the want that this answers
     * @property latencyMicros the sender's smoothed latency of the upstream; 0 when unknown
     */
    @Serializable
    @SerialName("give")
    data class Grant(
        @SerialName("u") val upstream: UpstreamKey,
        @SerialName("c") val count: Int,
        @SerialName("i") val idle: Int,
        @SerialName("s") val sequence: Long,
        @SerialName("l") val latencyMicros: Int = 0,
    ) : SlotMessage

    /** Tells an upstream's home entry what the sender holds; an absent upstream is held no more. */
    @Serializable
    @SerialName("renew")
    data class Renew(
        @SerialName("h") val held: List<Holding>,
        @SerialName("i") val idle: Int,
    ) : SlotMessage

    /** The home entry withdraws leases that its view does not allow; the receiver drops [count] of them. */
    @Serializable
    @SerialName("revoke")
    data class Revoke(
        @SerialName("u") val upstream: UpstreamKey,
        @SerialName("c") val count: Int,
    ) : SlotMessage

    /**
     * Leases of one upstream that the sender has.
     *
     * @property busy attempts that the upstream shed since the last renewal although they had a lease
     * @property latencyMicros the sender's smoothed latency of the upstream; 0 when unknown
     */
    @Serializable
    @SerialName("holding")
    data class Holding(
        @SerialName("u") val upstream: UpstreamKey,
        @SerialName("c") val count: Int,
        @SerialName("b") val busy: Int = 0,
        @SerialName("l") val latencyMicros: Int = 0,
    )
}
