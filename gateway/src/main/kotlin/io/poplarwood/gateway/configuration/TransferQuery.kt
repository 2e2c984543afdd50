package io.poplarwood.gateway.configuration

/**
 * Asks an entry for a piece of a configuration change.
 *
 * @property receiver address of the asking entry for other entries
 * @property known versions of the desired states that the change may start from, the newest first; none for a
 *   whole desired state
 * @property to version that the receiver wants; null for the newest that the sender has
 * @property index number of the piece, from 0
 */
internal data class TransferQuery(
    val receiver: String,
    val known: List<ConfigurationVersion>,
    val to: ConfigurationVersion?,
    val index: Int,
) {
    /** This query as the end of a request target. */
    fun encode(): String =
        listOf(receiver, known.joinToString(VERSION_SEPARATOR), to ?: "", index).joinToString(SEPARATOR)

    companion object {
        private const val SEPARATOR = "/"
        private const val VERSION_SEPARATOR = ","
        private const val FIELDS = 4

        /** Parses what [encode] returned; null when [text] is something else. */
        fun parse(text: String): TransferQuery? {
            val fields = text.split(SEPARATOR)
            if (fields.size != FIELDS) return null
            val known = fields[1].split(VERSION_SEPARATOR).filter { it.isNotEmpty() }.map {
                ConfigurationVersion.parse(it) ?: return null
            }
            val to = if (fields[2].isEmpty()) null else ConfigurationVersion.parse(fields[2]) ?: return null
            val index = fields[3].toIntOrNull()?.takeIf { it >= 0 } ?: return null
            return TransferQuery(fields.first(), known, to, index)
        }
    }
}
