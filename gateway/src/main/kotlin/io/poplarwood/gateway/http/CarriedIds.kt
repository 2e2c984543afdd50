package io.poplarwood.gateway.http

import io.netty.util.collection.IntObjectHashMap

/**
 * Ids of the requests that one connection has carried. Only hashes are kept; an id with the hash of another one counts
 * as carried.
 */
internal class CarriedIds {
    private val hashes = IntObjectHashMap<Unit>()

    /** Number of ids. */
    val size: Int get() = hashes.size

    /** Adds [id]. */
    fun add(id: String) {
        hashes.put(id.hashCode(), Unit)
    }

    /** Whether [id] was added, or another one with its hash. */
    operator fun contains(id: String): Boolean = hashes.containsKey(id.hashCode())
}
