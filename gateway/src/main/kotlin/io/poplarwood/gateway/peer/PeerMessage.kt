package io.poplarwood.gateway.peer

import io.poplarwood.gateway.configuration.ConfigurationVersion
import io.poplarwood.gateway.metrics.DatagramKind
import io.poplarwood.gateway.store.StoreVersion
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One datagram between entries; [from] is the name of the entry that sent it. */
@Serializable
internal sealed interface PeerMessage {
    val from: String

    /** Kind of this message in the metrics. */
    val kind: DatagramKind
        get() = when (this) {
            is Hello -> DatagramKind.HEARTBEAT
            is LoadState, is LoadUpdate -> DatagramKind.LOAD
            is UpstreamUpdate -> DatagramKind.REGISTRATIONS
            is PermitMessage -> DatagramKind.PERMITS
            is CrashUpdate -> DatagramKind.CRASHES
        }

    companion object {
        /** Heartbeat interval that is assumed until a heartbeat states its own, in milliseconds. */
        const val INITIAL_INTERVAL_MS = 400

        /** Staleness of an entry whose configuration was never confirmed, or that does not say, in milliseconds. */
        const val UNCONFIRMED_MS = Long.MAX_VALUE
    }

    /**
     * Heartbeat. Its interval depends on the roles of sender and receiver.
     *
     * @property callers `ip:port` for callers
     * @property peers `ip:port` for other entries
     * @property serving whether the sender takes requests
     * @property stopping whether the sender has begun a planned stop
     * @property storeAnswers whether the store answered the last calls of the sender
     * @property stateVersion version of the desired state that the sender has
     * @property upstreamVersion store version of the newest change of a registration that the sender has
     * @property coveredVersion store version up to which the sender has every registration
     * @property unchangedSince store version from which to [coveredVersion] no registration changed or was removed;
     * null when the sender does not say
     * @property confirmedMs time since the registrations were confirmed to be the newest, in milliseconds
     * @property stateReceived store version of the newest desired state that the sender has received, which it may be
     * unable to decode
     * @property stateAccepted store version of the newest row that holds [stateVersion] or an older desired state
     * @property stateConfirmedMs time since the store certainly had no desired state beyond the newest one that the
     * sender has received, in milliseconds
     * @property upMs time since the sender started, in milliseconds
     * @property requestsPerS requests per second that the sender received lately
     * @property capacity requests per second that the VM of the sender can carry
     * @property active whether the sender takes callers of its zone
     * @property zoneActive names of all entries that take callers of the sender's zone, the zone leader first
     * @property everyMs time until the next heartbeat to the receiver, in milliseconds
     * @property crashes digest of the crash records that the sender has
     * @property readingMs time for which a newer desired state has been arriving at the sender from the store, in
     * milliseconds; 0 while none is
     * @property sentMs reading of the sender's clock when it sent this heartbeat, in milliseconds; null when it does
     * not say
     * @property relay `ip:port` for requests that other entries send on; null where the sender takes none
     * @property cutOff whether the sender cannot reach upstreams that others reach, or could not until lately
     * @property load the first part of the load that comes with this heartbeat; null where the receiver takes no
     * requests, or where the heartbeat has no room for it
     */
    @Serializable
    @SerialName("h")
    data class Hello(
        @SerialName("f") override val from: String,
        @SerialName("z") val zone: String,
        @SerialName("c") val callers: String,
        @SerialName("p") val peers: String,
        @SerialName("s") val serving: Boolean,
        @SerialName("e") val stopping: Boolean,
        @SerialName("o") val storeAnswers: Boolean,
        @SerialName("sv") val stateVersion: ConfigurationVersion,
        @SerialName("uv") val upstreamVersion: StoreVersion,
        @SerialName("cv") val coveredVersion: StoreVersion,
        @SerialName("us") val unchangedSince: StoreVersion? = null,
        @SerialName("cm") val confirmedMs: Long,
        @SerialName("sr") val stateReceived: StoreVersion = StoreVersion.NONE,
        @SerialName("sa") val stateAccepted: StoreVersion = StoreVersion.NONE,
        @SerialName("cs") val stateConfirmedMs: Long = UNCONFIRMED_MS,
        @SerialName("um") val upMs: Long,
        @SerialName("q") val requestsPerS: Int,
        @SerialName("y") val capacity: Int = PeerRecord.DEFAULT_CAPACITY,
        @SerialName("a") val active: Boolean = true,
        @SerialName("za") val zoneActive: List<String> = emptyList(),
        @SerialName("i") val everyMs: Int = INITIAL_INTERVAL_MS,
        @SerialName("k") val crashes: Long = 0,
        @SerialName("rm") val readingMs: Long = 0,
        @SerialName("t") val sentMs: Long? = null,
        @SerialName("rl") val relay: String? = null,
        @SerialName("co") val cutOff: Boolean = false,
        @SerialName("lp") val load: LoadPart? = null,
    ) : PeerMessage

    /** A further part of the load that comes with a heartbeat. */
    @Serializable
    @SerialName("lp")
    data class LoadState(
        @SerialName("f") override val from: String,
        @SerialName("l") val part: LoadPart,
    ) : PeerMessage

    /** Changes of the load of upstreams since the last update. */
    @Serializable
    @SerialName("l")
    data class LoadUpdate(
        @SerialName("f") override val from: String,
        @SerialName("l") val load: List<UpstreamLoad>,
    ) : PeerMessage

    /**
     * Registrations that changed in the store.
     *
     * @property after store version that the receiver must have reached for [rows] to follow without a gap
     */
    @Serializable
    @SerialName("u")
    data class UpstreamUpdate(
        @SerialName("f") override val from: String,
        @SerialName("a") val after: StoreVersion,
        @SerialName("r") val rows: List<ReplicatedRow>,
    ) : PeerMessage

    /** Request for or grant of permits of the incarnation of [upstream] that began at [born]. */
    @Serializable
    sealed interface PermitMessage : PeerMessage {
        val upstream: String
        val born: Long
    }

    /**
     * Asks the issuer of [upstream] for permits.
     *
     * @property from the entry that receives the permits
     * @property priority rank of the request that needs a permit, 0 is the most urgent
     * @property count number of permits
     * @property forwarded whether an entry that is not the issuer forwarded the request
     */
    @Serializable
    @SerialName("pr")
    data class PermitRequest(
        @SerialName("f") override val from: String,
        @SerialName("u") override val upstream: String,
        @SerialName("b") override val born: Long,
        @SerialName("p") val priority: Int,
        @SerialName("n") val count: Int,
        @SerialName("w") val forwarded: Boolean = false,
    ) : PermitMessage

    /**
     * Grants permits to the receiver.
     *
     * @property priority rank of the request that the permits were issued for
     * @property count number of permits
     */
    @Serializable
    @SerialName("pg")
    data class PermitGrant(
        @SerialName("f") override val from: String,
        @SerialName("u") override val upstream: String,
        @SerialName("b") override val born: Long,
        @SerialName("p") val priority: Int,
        @SerialName("n") val count: Int,
    ) : PermitMessage

    /** Crash records: requests that upstreams ended under, or appear to have ended under. */
    @Serializable
    @SerialName("k")
    data class CrashUpdate(
        @SerialName("f") override val from: String,
        @SerialName("s") val suspects: List<CrashSuspectUpdate>,
    ) : PeerMessage
}

/**
 * Load of one upstream as one entry sees it.
 *
 * @property inFlight requests that the sender has in flight at [upstream]
 * @property slowness percent of the usual time that requests take at [upstream] now; 0 when the sender has no new value
 * @property leavingBorn start of the draining incarnation of [upstream], in milliseconds since the epoch; null
 * when [upstream] is not draining
 * @property limit the rate limit that [upstream] names or has ended lately; null when the sender knows of none
 */
@Serializable
internal data class UpstreamLoad(
    @SerialName("u") val upstream: String,
    @SerialName("n") val inFlight: Int,
    @SerialName("s") val slowness: Int,
    @SerialName("b") val leavingBorn: Long? = null,
    @SerialName("m") val limit: LimitUpdate? = null,
)
