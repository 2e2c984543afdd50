package io.poplarwood.gateway.peer

import java.net.URLDecoder
import java.net.URLEncoder

/**
 * Asks a peer for registrations.
 *
 * @property covered store version up to which the asking entry has every registration
 * @property afterKey null for what changed after [covered]; otherwise the key behind which a page of all registrations
 *   begins, empty for the first page
 */
internal data class RegistrationQuery(val covered: Long, val afterKey: String?) {
    /** This query as the end of a request target. */
    fun encode(): String =
        covered.toString() + afterKey?.let { SEPARATOR + URLEncoder.encode(it, Charsets.UTF_8) }.orEmpty()

    companion object {
        private const val SEPARATOR = "/"

        /** Parses what [encode] returned. */
        fun parse(text: String): RegistrationQuery {
            val covered = text.substringBefore(SEPARATOR).toLongOrNull() ?: 0
            val key = text.substringAfter(SEPARATOR, MISSING).takeIf { it != MISSING }
            return RegistrationQuery(covered, key?.let { URLDecoder.decode(it, Charsets.UTF_8) })
        }

        /** Cannot be part of an encoded query. */
        private const val MISSING = "\u0000"
    }
}
