package io.poplarwood.fleet.directory

import com.dynatrace.hash4j.hashing.Hashing

/** Rendezvous hashing: every caller with the same members orders them alike, and a lost member moves only its part. */
object Rendezvous {
    private val hasher = Hashing.xxh3_64()

    /** [items] in the order of their score for [key], best first. */
    fun <T> order(key: String, items: Collection<T>, name: (T) -> String): List<T> =
        items.sortedByDescending { hasher.hashCharsToLong("$key\u0000${name(it)}").toULong() }
}
