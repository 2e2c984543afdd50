package io.poplarwood.fleet.message

import io.poplarwood.api.id.EntryRef
import io.poplarwood.fleet.config.ChangeBatch
import io.poplarwood.fleet.upstream.UpstreamStateRow
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** Messages by which entries replicate membership, configuration and upstream states. */
@Serializable
sealed interface FleetMessage {
    /** Requests an [Ack] with the same [nonce]. */
    @Serializable
    @SerialName("ping")
    data class Ping(val nonce: Long, val digest: Digest) : FleetMessage

    /** Answers the [Ping] with the same [nonce]. */
    @Serializable
    @SerialName("ack")
    data class Ack(val nonce: Long, val digest: Digest) : FleetMessage

    /** Requests that the receiver pings [target] and answers with [IndirectAck] when [target] has answered. */
    @Serializable
    @SerialName("indirectPing")
    data class IndirectPing(val nonce: Long, val target: Peer) : FleetMessage

    /** The [target] of an [IndirectPing] answered. */
    @Serializable
    @SerialName("indirectAck")
    data class IndirectAck(val nonce: Long, val target: EntryRef) : FleetMessage

    /** New [batches] from [origin]; the receiver applies these, forwards to [route] and acknowledges to [origin]. */
    @Serializable
    @SerialName("changePush")
    data class ChangePush(val batches: List<ChangeBatch>, val origin: Peer, val route: List<Peer>) : FleetMessage

    /** The sender has every change up to [sequence] in force. */
    @Serializable
    @SerialName("changeAck")
    data class ChangeAck(val sequence: Long) : FleetMessage

    /** Requests the batches after sequence [after]. */
    @Serializable
    @SerialName("changePull")
    data class ChangePull(val after: Long) : FleetMessage

    /** Answers [ChangePull]; empty when the sender does not hold the batch that follows the requested sequence. */
    @Serializable
    @SerialName("changes")
    data class Changes(val batches: List<ChangeBatch>) : FleetMessage

    /** Upstream states that changed. */
    @Serializable
    @SerialName("upstreamNews")
    data class UpstreamUpdate(val rows: List<UpstreamStateRow>) : FleetMessage

    /** Requests the snapshot page with number [page], from 0. */
    @Serializable
    @SerialName("snapshotPull")
    data class SnapshotPull(val page: Int) : FleetMessage

    /** Page [page], encoded as [bytes], of a snapshot that has [pages] pages. */
    @Serializable
    @SerialName("snapshot")
    class Snapshot(
        val page: Int,
        val pages: Int,
        @ByteString val bytes: ByteArray,
    ) : FleetMessage
}
