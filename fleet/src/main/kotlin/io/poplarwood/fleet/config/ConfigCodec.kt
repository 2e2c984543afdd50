package io.poplarwood.fleet.config

import io.poplarwood.api.work.ServiceDocument
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor
import java.security.MessageDigest

/** Keys and encodings of the rows and objects that store configuration. */
object ConfigCodec {
    /** Key of the head row, whose version is the sequence of the last change. */
    const val HEAD = "head"

    /** Key of the row with the agreed view. */
    const val VIEW = "view"

    /** Key prefix of document rows. */
    const val DOCUMENTS = "doc/"

    /** Key prefix of change rows. */
    const val CHANGES = "change/"

    /** Key prefix of the rows that record when changes were in force everywhere. */
    const val IN_FORCE = "inforce/"

    /** Encoded documents above this size in bytes are stored as objects instead of inline. */
    const val MAX_INLINE_BYTES = 4 * 1024

    private const val SEQUENCE_DIGITS = 16
    private const val HEX_DIGITS = "0123456789abcdef"
    private val cbor = Cbor { ignoreUnknownKeys = true }

    /** Key of the change row of [sequence]; zero-padded, so that keys sort in the order of sequences. */
    fun changeKey(sequence: Long): String = CHANGES + sequence.toString().padStart(SEQUENCE_DIGITS, '0')

    /** Key of the row that records when [sequence] was in force everywhere. */
    fun inForceKey(sequence: Long): String = IN_FORCE + sequence.toString().padStart(SEQUENCE_DIGITS, '0')

    fun encodeDocument(document: ServiceDocument): ByteArray =
        cbor.encodeToByteArray(ServiceDocument.serializer(), document)

    /** Returns null when [bytes] do not encode a document. */
    fun decodeDocument(bytes: ByteArray): ServiceDocument? = decode(ServiceDocument.serializer(), bytes)

    fun encodeBatch(batch: ChangeBatch): ByteArray = cbor.encodeToByteArray(ChangeBatch.serializer(), batch)

    /** Returns null when [bytes] do not encode a batch. */
    fun decodeBatch(bytes: ByteArray): ChangeBatch? = decode(ChangeBatch.serializer(), bytes)

    fun encodeChange(change: ConfigChange): ByteArray = cbor.encodeToByteArray(ConfigChange.serializer(), change)

    /** Decodes the value of a document row; null when [bytes] do not encode a change. */
    fun decodeChange(bytes: ByteArray): ConfigChange? = decode(ConfigChange.serializer(), bytes)

    fun encodeView(view: FleetView): ByteArray = cbor.encodeToByteArray(FleetView.serializer(), view)

    /** Returns null when [bytes] do not encode a view. */
    fun decodeView(bytes: ByteArray): FleetView? = decode(FleetView.serializer(), bytes)

    /** Object name of an encoded document, from the SHA-256 hash of [bytes]. */
    fun digest(bytes: ByteArray): String {
        val hash = MessageDigest.getInstance("SHA-256").digest(bytes)
        return "doc-" + hash.joinToString("") { b ->
            val v = b.toInt() and 0xff
            "${HEX_DIGITS[v ushr 4]}${HEX_DIGITS[v and 0xf]}"
        }
    }

    // The CBOR decoder reports malformed input by several exception types, among them index and state exceptions.
    private fun <T> decode(serializer: KSerializer<T>, bytes: ByteArray): T? =
        runCatching { cbor.decodeFromByteArray(serializer, bytes) }.getOrNull()
}
