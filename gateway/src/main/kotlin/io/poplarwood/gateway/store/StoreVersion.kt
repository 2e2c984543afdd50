package io.poplarwood.gateway.store

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/**
 * A version of the store or of one of its rows. A store that comes back from an older copy gives out again the numbers
 * of the changes that it has lost, in a new era; so a number alone orders nothing.
 *
 * @property era rises each time that the store comes back from a copy; 0 for a store without eras
 * @property change number of the change within [era]; says something only to the store
 */
@Serializable(with = StoreVersion.Serializer::class)
data class StoreVersion(val era: Long, val change: Long) : Comparable<StoreVersion> {
    override fun compareTo(other: StoreVersion): Int = compareValuesBy(this, other, { it.era }, { it.change })

    /** Whether the store came back from a copy between [earlier] and this version. */
    fun isOfLaterEraThan(earlier: StoreVersion): Boolean = era > earlier.era

    /** Whether both versions are of one era, so that the changes between them are known to the store. */
    fun isOfSameEraAs(other: StoreVersion): Boolean = era == other.era

    override fun toString(): String = "$era$SEPARATOR$change"

    /** Writes a version as text. */
    object Serializer : KSerializer<StoreVersion> {
        override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor("StoreVersion", PrimitiveKind.STRING)

        override fun serialize(encoder: Encoder, value: StoreVersion) = encoder.encodeString(value.toString())

        override fun deserialize(decoder: Decoder): StoreVersion =
            decoder.decodeString().let { parse(it) ?: throw SerializationException("no store version: $it") }
    }

    companion object {
        private const val SEPARATOR = '.'

        /** Older than each version of a store. */
        val NONE: StoreVersion = StoreVersion(0, 0)

        /** Parses what [toString] returned; null when [text] is something else. */
        fun parse(text: String): StoreVersion? {
            val era = text.substringBefore(SEPARATOR).toLongOrNull() ?: return null
            val change = text.substringAfter(SEPARATOR, "").toLongOrNull() ?: return null
            return StoreVersion(era, change)
        }
    }
}
