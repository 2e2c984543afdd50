package io.poplarwood.api.id

import kotlinx.serialization.Serializable

/**
 * One run of an entry process.
 *
 * @property startedMs wall-clock start time in milliseconds since the epoch; orders runs of an entry for display only
 * @property nonce random bits that distinguish runs with equal start times
 */
@Serializable
data class Incarnation(val startedMs: Long, val nonce: Long) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int = compareValuesBy(this, other, { it.startedMs }, { it.nonce })

    override fun toString(): String = startedMs.toString(RADIX) + "-" + nonce.toULong().toString(RADIX)

    companion object {
        private const val RADIX = 36

        /** Parses the output of [toString]; null when [text] has another format. */
        fun parse(text: String): Incarnation? {
            val separator = text.indexOf('-')
            if (separator < 0) return null
            val started = text.substring(0, separator).toLongOrNull(RADIX) ?: return null
            val nonce = text.substring(separator + 1).toULongOrNull(RADIX) ?: return null
            return Incarnation(started, nonce.toLong())
        }
    }
}
