package io.poplarwood.gateway.configuration

/**
 * The latest desired states of an entry. They share the routes that did not change, so several cost little more memory
 * than one.
 */
internal class ConfigurationHistory {
    private val configurations = ArrayDeque<Configuration>()

    /** The newest desired state; null until there is one. */
    val newest: Configuration? get() = configurations.lastOrNull()

    /** Versions of the desired states, the newest first. */
    val versions: List<ConfigurationVersion> get() = configurations.map { it.version }.asReversed()

    /** The desired state with [version]; null when it is unknown or too old. */
    operator fun get(version: ConfigurationVersion): Configuration? =
        configurations.lastOrNull { it.version == version }

    /** Adds a desired state that is newer than the others. */
    fun add(configuration: Configuration) {
        configurations.addLast(configuration)
        if (configurations.size > MAX_VERSIONS) configurations.removeFirst()
    }

    private companion object {
        /** A peer that is further behind receives the whole desired state. */
        const val MAX_VERSIONS = 16
    }
}
