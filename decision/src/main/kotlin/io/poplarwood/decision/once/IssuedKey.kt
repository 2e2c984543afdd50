package io.poplarwood.decision.once

import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.Incarnation

/**
 * An idempotency key that names the one run of an entry that may dispatch its request.
 *
 * Its text is `<entry>.<incarnation>.<issue time>.<caller part>`; the time is in base 36.
 *
 * @property owner the run that may dispatch the request
 * @property issuedMs wall-clock time of issue in milliseconds since the epoch
 * @property callerPart part appended by the caller; may contain dots
 */
data class IssuedKey(val owner: EntryRef, val issuedMs: Long, val callerPart: String) {
    override fun toString(): String = prefix(owner, issuedMs) + callerPart

    companion object {
        private const val RADIX = 36
        private const val PARTS = 4
        private val ENTRY = Regex("[A-Za-z0-9-]+")

        /** Prefix that the directory hands out, ending with a dot; the caller appends a unique part of its own. */
        fun prefix(owner: EntryRef, issuedMs: Long): String = "$owner.${issuedMs.toString(RADIX)}."

        /**
         * Parses [text]; null when it does not have the form of an issued key, as a key that the caller made itself.
         */
        fun parse(text: String): IssuedKey? {
            val parts = text.split('.', limit = PARTS)
            if (parts.size != PARTS || !ENTRY.matches(parts[0]) || parts[PARTS - 1].isEmpty()) return null
            val incarnation = Incarnation.parse(parts[1]) ?: return null
            val issued = parts[2].toLongOrNull(RADIX)?.takeIf { it >= 0 } ?: return null
            return IssuedKey(EntryRef(EntryId(parts[0]), incarnation), issued, parts[PARTS - 1])
        }
    }
}
