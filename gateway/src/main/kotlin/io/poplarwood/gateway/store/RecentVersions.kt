package io.poplarwood.gateway.store

/** Store versions by key, of the [maxKeys] keys that were set last. */
internal class RecentVersions(private val maxKeys: Int) {
    private val versions = LinkedHashMap<String, StoreVersion>()

    /** Highest version that was dropped because there were too many keys, if any was. */
    var droppedUpTo: StoreVersion = StoreVersion.NONE
        private set

    /** Version set for [key]; [StoreVersion.NONE] when there is none. */
    operator fun get(key: String): StoreVersion = versions[key] ?: StoreVersion.NONE

    /** Sets the version for [key], unless the stored one is newer. */
    operator fun set(key: String, version: StoreVersion) {
        versions[key] = maxOf(version, versions.remove(key) ?: StoreVersion.NONE)
        if (versions.size <= maxKeys) return
        val oldest = versions.keys.first()
        droppedUpTo = maxOf(droppedUpTo, versions.remove(oldest) ?: StoreVersion.NONE)
    }

    /** The keys whose version is higher than [version]. */
    fun after(version: StoreVersion): Map<String, StoreVersion> = versions.filterValues { it > version }
}
