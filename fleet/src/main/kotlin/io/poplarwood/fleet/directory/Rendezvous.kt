package io.poplarwood.fleet.directory

import com.dynatrace.hash4j.hashing.Hashing

/** Rendezvous hashing: equal sets give equal orders, and removing a member moves only the keys of that member. */
object Rendezvous {
    private val hasher = Hashing.xxh3_64()

    /** [items] in descending order of their hash for [key]. */
    fun <T> order(key: String, items: Collection<T>, name: (T) -> String): List<T> =
        items.sortedByDescending { hasher.hashCharsToLong("$key\u0000${name(it)}").toULong() }
}
