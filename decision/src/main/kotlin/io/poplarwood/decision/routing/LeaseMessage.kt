package io.poplarwood.decision.routing

import io.poplarwood.api.id.Zone
import io.poplarwood.api.work.Rank
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Messages with which entries move leases for the slots of one service. Serial names are short to save bytes. */
@Serializable
sealed interface LeaseMessage {
    /**
     * Requests a lease: the sender has [count] calls waiting, the most urgent of [rank], and holds no idle lease.
     *
     * @property zone zone of the sender, whose upstreams it prefers
     */
    @Serializable
    @SerialName("want")
    data class Request(
        @SerialName("r") val rank: Rank,
        @SerialName("c") val count: Int,
        @SerialName("s") val sequence: Long,
        @SerialName("z") val zone: Zone? = null,
    ) : LeaseMessage

    /**
     * Grants [count] leases of [upstream] to the receiver; [idle] is the number that the sender has left.
     *
     * @property sequence number of the request that this message answers
     * @property latencyMicros the sender's smoothed latency of the upstream in microseconds; 0 when unknown
     */
    @Serializable
    @SerialName("give")
    data class Grant(
        @SerialName("u") val upstream: UpstreamKey,
        @SerialName("c") val count: Int,
        @SerialName("i") val idle: Int,
        @SerialName("s") val sequence: Long,
        @SerialName("l") val latencyMicros: Int = 0,
    ) : LeaseMessage

    /**
     * Reports to the entry that issues an upstream's leases what the sender holds; an upstream that is absent is no
     * longer held.
     *
     * @property idle number of idle leases that the sender has
     */
    @Serializable
    @SerialName("renew")
    data class Renew(
        @SerialName("h") val held: List<Holding>,
        @SerialName("i") val idle: Int,
    ) : LeaseMessage

    /** Revokes leases that exceed the issuer's target; the receiver drops [count] of them. */
    @Serializable
    @SerialName("revoke")
    data class Revoke(
        @SerialName("u") val upstream: UpstreamKey,
        @SerialName("c") val count: Int,
    ) : LeaseMessage

    /**
     * Leases of one upstream that the sender holds.
     *
     * @property busy attempts that the upstream shed since the last renewal although they had a lease
     * @property latencyMicros the sender's smoothed latency of the upstream in microseconds; 0 when unknown
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
