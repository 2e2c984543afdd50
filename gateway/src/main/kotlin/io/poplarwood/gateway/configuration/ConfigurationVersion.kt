package io.poplarwood.gateway.configuration

import io.poplarwood.gateway.store.StoreVersion
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/**
 * Version of a desired state. That of the operators counts first: a store that came back from an older copy may hold an
 * older desired state in a newer row.
 *
 * @property operatorVersion version that the operators gave the desired state
 * @property row version of the row that holds it
 */
@Serializable(with = ConfigurationVersion.Serializer::class)
internal data class ConfigurationVersion(
    val operatorVersion: Long,
    val row: StoreVersion,
) : Comparable<ConfigurationVersion> {
    override fun compareTo(other: ConfigurationVersion): Int =
        compareValuesBy(this, other, { it.operatorVersion }, { it.row })

    override fun toString(): String = "$operatorVersion$SEPARATOR$row"

    /** Writes a version as text. */
    object Serializer : KSerializer<ConfigurationVersion> {
        override val descriptor: SerialDescriptor =
            PrimitiveSerialDescriptor("ConfigurationVersion", PrimitiveKind.STRING)

        override fun serialize(encoder: Encoder, value: ConfigurationVersion) = encoder.encodeString(value.toString())

        override fun deserialize(decoder: Decoder): ConfigurationVersion =
            decoder.decodeString().let { parse(it) ?: throw SerializationException("no configuration version: $it") }
    }

    companion object {
        private const val SEPARATOR = '@'

        /** Older than each version of a desired state. */
        val NONE: ConfigurationVersion = ConfigurationVersion(-1, StoreVersion.NONE)

        /** Parses what [toString] returned; null when [text] is something else. */
        fun parse(text: String): ConfigurationVersion? {
            val operatorVersion = text.substringBefore(SEPARATOR).toLongOrNull() ?: return null
            val row = StoreVersion.parse(text.substringAfter(SEPARATOR, "")) ?: return null
            return ConfigurationVersion(operatorVersion, row)
        }
    }
}
