package io.poplarwood.gateway.peer

import io.poplarwood.gateway.store.StoreVersion
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** Reply of an entry to a [RegistrationQuery]. */
@Serializable
internal sealed interface RegistrationReply {
    /**
     * Registrations that the receiver lacks: either all that changed after a version, or one page of all.
     *
     * @property after store version after which [rows] changed; null when they are a page of all registrations
     * @property lastKey key of the last row; null when no further page follows
     * @property upstreamVersion store version of the newest change of a registration that the sender has
     * @property coveredVersion store version up to which the sender has every registration
     * @property rows the registrations, as [EncodedRegistrations] encodes them
     */
    @Serializable
    @SerialName("p")
    class Page(
        @SerialName("a") val after: StoreVersion?,
        @SerialName("k") val lastKey: String?,
        @SerialName("uv") val upstreamVersion: StoreVersion,
        @SerialName("cv") val coveredVersion: StoreVersion,
        @SerialName("r") @ByteString val rows: ByteArray,
    ) : RegistrationReply

    /**
     * The sender serves as many entries as its link bears.
     *
     * @property holders addresses of entries that have received the newer registrations from the sender
     */
    @Serializable
    @SerialName("b")
    class Busy(
        @SerialName("h") val holders: List<String>,
    ) : RegistrationReply

    /** The sender has nothing newer. */
    @Serializable
    @SerialName("n")
    data object Nothing : RegistrationReply
}
