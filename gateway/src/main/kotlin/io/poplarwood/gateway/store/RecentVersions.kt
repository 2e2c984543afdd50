package io.poplarwood.gateway.store

/** Store versions by key, of the [maxKeys] keys that were noted last. */
internal class RecentVersions(private val maxKeys: Int) {
    private val versions = LinkedHashMap<String, Long>()

    /** Version noted for [key]; 0 when there is none. */
    operator fun get(key: String): Long = versions[key] ?: 0

    /** Notes [version] for [key], unless a newer one is known. */
    operator fun set(key: String, version: Long) {
        versions[key] = maxOf(version, versions.remove(key) ?: 0)
        if (versions.size > maxKeys) versions.remove(versions.keys.first())
    }
}
