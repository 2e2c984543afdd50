package io.poplarwood.gateway.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One datagram between entries. Each names the entry that sent it. */
@Serializable
internal sealed interface PeerMessage {
    val from: String

    companion object {
        /** Time between two hellos of entries that take requests, in milliseconds. */
        const val INITIAL_INTERVAL_MS = 400
    }

    /**
     * Sent again and again; how often depends on how much sender and receiver have to do with each other.
     *
     * @property callers `ip:port` for callers
     * @property peers `ip:port` for other entries
     * @property serving it takes requests
     * @property stopping it has begun a planned stop
     * @property storeAnswers its last calls to the store were answered
     * @property stateVersion store version of the desired state that it knows
     * @property upstreamVersion store version of the newest registration that it knows
     * @property coveredVersion store version up to which it knows every registration
     * @property confirmedMs time since these were known to be the newest, in milliseconds
     * @property upMs time since it started, in milliseconds
     * @property requestsPerS requests that it took in the last seconds
     * @property capacity requests a second that its VM can carry
     * @property active it takes callers of its zone
     * @property zoneActive names of all entries that take callers of its zone, the lead first
     * @property everyMs time to its next hello to the receiver, in milliseconds
     * @property crashes follows from what it knows of requests under which upstreams ended
     * @property load requests that it has at upstreams; null where the receiver takes no requests
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
        @SerialName("sv") val stateVersion: Long,
        @SerialName("uv") val upstreamVersion: Long,
        @SerialName("cv") val coveredVersion: Long,
        @SerialName("cm") val confirmedMs: Long,
        @SerialName("um") val upMs: Long,
        @SerialName("q") val requestsPerS: Int,
        @SerialName("y") val capacity: Int = PeerRecord.DEFAULT_CAPACITY,
        @SerialName("a") val active: Boolean = true,
        @SerialName("za") val zoneActive: List<String> = emptyList(),
        @SerialName("i") val everyMs: Int = INITIAL_INTERVAL_MS,
        @SerialName("k") val crashes: Long = 0,
        @SerialName("l") val load: List<UpstreamLoad>? = null,
    ) : PeerMessage

    /** What changed at upstreams since the last news. */
    @Serializable
    @SerialName("l")
    data class LoadUpdate(
        @SerialName("f") override val from: String,
        @SerialName("l") val load: List<UpstreamLoad>,
    ) : PeerMessage

    /**
     * Registrations that changed in the store.
     *
     * @property after store version that the receiver must know for [rows] to follow without a gap
     */
    @Serializable
    @SerialName("u")
    data class UpstreamUpdate(
        @SerialName("f") override val from: String,
        @SerialName("a") val after: Long,
        @SerialName("r") val rows: List<ReplicatedRow>,
    ) : PeerMessage

    /** Requests under which upstreams ended, or seem to have. */
    @Serializable
    @SerialName("k")
    data class CrashUpdate(
        @SerialName("f") override val from: String,
        @SerialName("s") val suspects: List<CrashSuspectUpdate>,
    ) : PeerMessage
}

/**
 * @property inFlight requests that the sender has at [upstream]
 * @property slowness percent of the usual time that work takes there now; 0 when the sender has nothing new
 * @property leavingBorn when the life of [upstream] began that leaves, in milliseconds since the epoch; null when it
 * does not leave
 */
@Serializable
internal data class UpstreamLoad(
    @SerialName("u") val upstream: String,
    @SerialName("n") val inFlight: Int,
    @SerialName("s") val slowness: Int,
    @SerialName("b") val leavingBorn: Long? = null,
)
