package io.poplarwood.gateway.store

/** Store versions by key, of the [maxKeys] keys that were set last. */
internal class RecentVersions(private val maxKeys: Int) {
    private val versions = LinkedHashMap<String, Long>()

    /** Highest version that was dropped because there were too many keys; 0 when none was. */
    var droppedUpTo: Long = 0
        private set

    /** Version set for [key]; 0 when there is none. */
    operator fun get(key: String): Long = versions[key] ?: 0

    /** Sets the version for [key], unless the stored one is newer. */
    operator fun set(key: String, version: Long) {
        versions[key] = maxOf(version, versions.remove(key) ?: 0)
        if (versions.size <= maxKeys) return
        val oldest = versions.keys.first()
        droppedUpTo = maxOf(droppedUpTo, versions.remove(oldest) ?: 0)
    }

    /** The keys whose version is higher than [version]. */
    fun after(version: Long): Map<String, Long> = versions.filterValues { it > version }
}
