package io.poplarwood.bench.virtual

import io.poplarwood.decision.routing.LeaseMessage
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray

/** Size of slot messages on a link between entries. */
object SlotMessageSize {
    /** Frame length, kind and service name, which surround every slot message. */
    private const val ENVELOPE_BYTES = 24

    private val cbor = Cbor { preferCborLabelsOverNames = true }

    /** Bytes of [message] with its envelope. */
    fun of(message: LeaseMessage): Int = cbor.encodeToByteArray<LeaseMessage>(message).size + ENVELOPE_BYTES
}
