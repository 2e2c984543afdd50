package io.poplarwood.gateway.store

import kotlin.time.Duration

/**
 * When this entry first heard of each version of the configuration that is newer than its own. Versions are store
 * versions.
 */
internal class AnnouncedVersions {
    private val announcements = ArrayDeque<Announcement>()

    /**
     * Records that [source] announced [version] at [at]. A version below one that is recorded already adds nothing:
     * it existed before that one was announced.
     */
    fun record(version: StoreVersion, at: Duration, source: String) {
        val newest = announcements.lastOrNull()
        if (newest != null && version <= newest.version) return
        // Without a limit, an entry that can never catch up would collect all later versions.
        if (newest != null && announcements.size >= MAX_ANNOUNCEMENTS) {
            announcements[announcements.lastIndex] = newest.copy(version = version)
        } else {
            announcements += Announcement(version, at, source)
        }
    }

    /** The earliest announcement of a version newer than [version]; null when there is none. */
    fun firstAfter(version: StoreVersion): Announcement? = announcements.firstOrNull { it.version > version }

    /** Removes the announcements of [version] and older ones. */
    fun removeUpTo(version: StoreVersion) {
        while (announcements.isNotEmpty() && announcements.first().version <= version) announcements.removeFirst()
    }

    /**
     * @property version the newest version that was announced then
     * @property at when this entry heard of it
     * @property source name of the entry that announced it, or `store`
     */
    data class Announcement(val version: StoreVersion, val at: Duration, val source: String)

    private companion object {
        const val MAX_ANNOUNCEMENTS = 64
    }
}
