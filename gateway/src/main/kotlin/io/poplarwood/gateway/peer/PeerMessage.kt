package io.poplarwood.gateway.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One datagram between entries. Each names the entry that sent it. */
@Serializable
internal sealed interface PeerMessage {
    val from: String

    /**
     * Sent a few times a second.
     *
     * @property callers `ip:port` for callers
     * @property peers `ip:port` for other entries
     * @property serving it takes requests
     * @property stopping it has begun a planned stop
     * @property stateVersion store version of the desired state that it knows
     * @property upstreamVersion store version of the registrations that it knows
     * @property confirmedMs time since these were known to be the newest, in milliseconds
     * @property load requests that it has at upstreams
     */
    @Serializable
    @SerialName("h")
    data class Hello(
        override val from: String,
        val zone: String,
        val callers: String,
        val peers: String,
        val serving: Boolean,
        val stopping: Boolean,
        val stateVersion: Long,
        val upstreamVersion: Long,
        val confirmedMs: Long,
        val load: List<UpstreamLoad>,
    ) : PeerMessage

    /** What changed at upstreams since the last news. */
    @Serializable
    @SerialName("l")
    data class LoadNews(override val from: String, val load: List<UpstreamLoad>) : PeerMessage

    /** [upstream] was lost while it ran a request with [fingerprint]. */
    @Serializable
    @SerialName("c")
    data class CrashNews(override val from: String, val fingerprint: Long, val upstream: String) : PeerMessage
}

/**
 * @property inFlight requests that the sender has at [upstream]
 * @property slowness percent of the usual time that work takes there now; 0 when the sender has nothing new
 */
@Serializable
internal data class UpstreamLoad(val upstream: String, val inFlight: Int, val slowness: Int)
