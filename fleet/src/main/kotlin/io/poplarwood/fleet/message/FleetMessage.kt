package io.poplarwood.fleet.message

import io.poplarwood.api.id.EntryRef
import io.poplarwood.fleet.config.ChangeBatch
import io.poplarwood.fleet.upstream.UpstreamStateRow
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** Messages by which entries keep membership, configuration and upstream states in common. */
@Serializable
sealed interface FleetMessage {
    /** Asks for an [Ack] with the same [nonce]. */
    @Serializable
    @SerialName("ping")
    data class Ping(val nonce: Long, val digest: Digest) : FleetMessage

    /** Answers the [Ping] with the same [nonce]. */
    @Serializable
    @SerialName("ack")
    data class Ack(val nonce: Long, val digest: Digest) : FleetMessage

    /** Asks the receiver to ping [target] and to answer [IndirectAck] when it hears from it. */
    @Serializable
    @SerialName("indirectPing")
    data class IndirectPing(val nonce: Long, val target: Peer) : FleetMessage

    /** The [target] of an [IndirectPing] answered. */
    @Serializable
    @SerialName("indirectAck")
    data class IndirectAck(val nonce: Long, val target: EntryRef) : FleetMessage

    /** New [batches] from [origin]; the receiver applies them, forwards to [route] and acknowledges to [origin]. */
    @Serializable
    @SerialName("changePush")
    data class ChangePush(val batches: List<ChangeBatch>, val origin: Peer, val route: List<Peer>) : FleetMessage

    /** The sender has every change up to [sequence] in force. */
    @Serializable
    @SerialName("changeAck")
    data class ChangeAck(val sequence: Long) : FleetMessage

    /** Asks for the batches after [after]. */
    @Serializable
    @SerialName("changePull")
    data class ChangePull(val after: Long) : FleetMessage

    /** Answers [ChangePull]; empty when the sender no longer holds the batch after the one asked for. */
    @Serializable
    @SerialName("changes")
    data class Changes(val batches: List<ChangeBatch>) : FleetMessage

    /** States of upstreams that changed. */
    @Serializable
    @SerialName("upstreamNews")
    data class UpstreamUpdate(val rows: List<UpstreamStateRow>) : FleetMessage

    /** Asks for a snapshot page; [page] counts from 0. */
    @Serializable
    @SerialName("snapshotPull")
    data class SnapshotPull(val page: Int) : FleetMessage

    /** One encoded page of a snapshot of [pages]. */
    @Serializable
    @SerialName("snapshot")
    class Snapshot(
        val page: Int,
        val pages: Int,
        @ByteString val bytes: ByteArray,
    ) : FleetMessage
}
