package io.poplarwood.fleet.config

import io.poplarwood.api.work.ServiceDocument
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor
import java.security.MessageDigest

/** Keys and encoding of the rows and objects that hold configuration. */
object ConfigCodec {
    /** Row whose version is the sequence of the last change. */
    const val HEAD = "head"

    /** Row of the agreed view. */
    const val VIEW = "view"

    /** Prefix of the rows of documents. */
    const val DOCUMENTS = "doc/"

    /** Prefix of the rows of changes. */
    const val CHANGES = "change/"

    /** Prefix of the rows that tell when a change was in force everywhere. */
    const val IN_FORCE = "inforce/"

    /** Encoded documents above this size are objects, in bytes. */
    const val MAX_INLINE_BYTES = 4 * 1024

    private const val SEQUENCE_DIGITS = 16
    private const val HEX_DIGITS = "0123456789abcdef"
    private val cbor = Cbor { ignoreUnknownKeys = true }

    /** Key of the change row of [sequence]; keys sort like sequences. */
    fun changeKey(sequence: Long): String = CHANGES + sequence.toString().padStart(SEQUENCE_DIGITS, '0')

    /** Key of the row that tells when [sequence] was in force everywhere. */
    fun inForceKey(sequence: Long): String = IN_FORCE + sequence.toString().padStart(SEQUENCE_DIGITS, '0')

    /** Encodes a document. */
    fun encodeDocument(document: ServiceDocument): ByteArray =
        cbor.encodeToByteArray(ServiceDocument.serializer(), document)

    /** Decodes a document; null when [bytes] are none. */
    fun decodeDocument(bytes: ByteArray): ServiceDocument? = decode(ServiceDocument.serializer(), bytes)

    /** Encodes the row of a batch. */
    fun encodeBatch(batch: ChangeBatch): ByteArray = cbor.encodeToByteArray(ChangeBatch.serializer(), batch)

    /** Decodes the row of a batch; null when [bytes] are none. */
    fun decodeBatch(bytes: ByteArray): ChangeBatch? = decode(ChangeBatch.serializer(), bytes)

    /** Encodes a change for its document row. */
    fun encodeChange(change: ConfigChange): ByteArray = cbor.encodeToByteArray(ConfigChange.serializer(), change)

    /** Decodes a document row; null when [bytes] are none. */
    fun decodeChange(bytes: ByteArray): ConfigChange? = decode(ConfigChange.serializer(), bytes)

    /** Encodes the view row. */
    fun encodeView(view: FleetView): ByteArray = cbor.encodeToByteArray(FleetView.serializer(), view)

    /** Decodes the view row; null when [bytes] are none. */
    fun decodeView(bytes: ByteArray): FleetView? = decode(FleetView.serializer(), bytes)

    /** Object name of [bytes]. */
    fun digest(bytes: ByteArray): String {
        val hash = MessageDigest.getInstance("SHA-256").digest(bytes)
        return "doc-" + hash.joinToString("") { b ->
            val v = b.toInt() and 0xff
            "${HEX_DIGITS[v ushr 4]}${HEX_DIGITS[v and 0xf]}"
        }
    }

    // The CBOR decoder reports damage by several exception types, among them index and state exceptions.
    private fun <T> decode(serializer: KSerializer<T>, bytes: ByteArray): T? =
        runCatching { cbor.decodeFromByteArray(serializer, bytes) }.getOrNull()
}
