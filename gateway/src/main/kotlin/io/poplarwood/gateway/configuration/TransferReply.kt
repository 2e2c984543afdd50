package io.poplarwood.gateway.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** Reply of an entry to a [TransferQuery]. */
@Serializable
internal sealed interface TransferReply {
    /**
     * One piece of a configuration change.
     *
     * @property from version that the change starts from; null when it is a whole desired state
     * @property to version that the change leads to
     * @property count number of pieces
     * @property digest digest of the desired state that the change leads to
     */
    @Serializable
    @SerialName("p")
    class Piece(
        @SerialName("f") val from: ConfigurationVersion?,
        @SerialName("t") val to: ConfigurationVersion,
        @SerialName("c") val count: Int,
        @SerialName("d") val digest: Long,
        @SerialName("b") @ByteString val bytes: ByteArray,
    ) : TransferReply

    /**
     * The sender serves as many entries as its link bears.
     *
     * @property holders addresses of entries that have received the newer desired state from the sender
     */
    @Serializable
    @SerialName("b")
    class Busy(
        @SerialName("h") val holders: List<String>,
    ) : TransferReply

    /** The sender has nothing newer, or no longer has the requested change. */
    @Serializable
    @SerialName("n")
    data object Nothing : TransferReply
}
