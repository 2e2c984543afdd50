package io.poplarwood.gateway.peer

import io.poplarwood.gateway.store.StoreVersion
import java.net.URLDecoder
import java.net.URLEncoder

/**
 * Asks a peer for registrations.
 *
 * @property receiver address of the asking entry for other entries
 * @property newest store version of the newest change of a registration that the asking entry has
 * @property covered store version up to which the asking entry has every registration
 * @property afterKey null for what changed after [covered]; otherwise the key behind which a page of all registrations
 *   begins, empty for the first page
 */
internal data class RegistrationQuery(
    val receiver: String,
    val newest: StoreVersion,
    val covered: StoreVersion,
    val afterKey: String?,
) {
    /** This query as the end of a request target. */
    fun encode(): String {
        val key = afterKey?.let { URLEncoder.encode(it, Charsets.UTF_8) }
        return listOfNotNull(receiver, newest, covered, key).joinToString(SEPARATOR)
    }

    companion object {
        private const val SEPARATOR = "/"
        private const val FIELDS = 3

        /** Parses what [encode] returned; null when [text] is something else. */
        fun parse(text: String): RegistrationQuery? {
            val fields = text.split(SEPARATOR)
            if (fields.size !in FIELDS..FIELDS + 1) return null
            val newest = StoreVersion.parse(fields[1]) ?: return null
            val covered = StoreVersion.parse(fields[2]) ?: return null
            val key = fields.getOrNull(FIELDS)?.let { URLDecoder.decode(it, Charsets.UTF_8) }
            return RegistrationQuery(fields.first(), newest, covered, key)
        }
    }
}
