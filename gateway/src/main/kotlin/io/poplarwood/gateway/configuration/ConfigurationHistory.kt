package io.poplarwood.gateway.configuration

/**
 * The latest desired states of an entry. They share the routes that did not change, so several cost little more memory
 * than one.
 */
internal class ConfigurationHistory {
    private val versions = ArrayDeque<Configuration>()

    /** The newest desired state; null until there is one. */
    val newest: Configuration? get() = versions.lastOrNull()

    /** Store versions of the desired states, the newest first. */
    val storeVersions: List<Long> get() = versions.map { it.storeVersion }.asReversed()

    /** The desired state with [storeVersion]; null when it is unknown or too old. */
    operator fun get(storeVersion: Long): Configuration? = versions.lastOrNull { it.storeVersion == storeVersion }

    /** Adds a desired state that is newer than the others. */
    fun add(configuration: Configuration) {
        versions.addLast(configuration)
        if (versions.size > MAX_VERSIONS) versions.removeFirst()
    }

    private companion object {
        /** A peer that is further behind receives the whole desired state. */
        const val MAX_VERSIONS = 16
    }
}
