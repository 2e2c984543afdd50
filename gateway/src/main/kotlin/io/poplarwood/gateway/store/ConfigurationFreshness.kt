package io.poplarwood.gateway.store

import kotlin.time.Duration

/**
 * What this entry knows about the age of its configuration, the desired state in force. Versions are store versions.
 *
 * A confirmation `(version, time)` says that no version above `version` was in the store before `time`. The store gives
 * one with each answer, and an entry passes on the one that it has. It confirms only an entry that has received exactly
 * this version. An entry with less learns that it is behind, and one with more learns nothing: its version was written
 * after that time.
 */
internal class ConfigurationFreshness {
    private val announced = AnnouncedVersions()
    private val inForceAtPeers = PeerVersions()
    private val receivedByPeers = PeerVersions()

    /** Newest version that is in force here, or that holds an older desired state than the one in force. */
    var acceptedVersion: StoreVersion = StoreVersion.NONE
        private set

    /** Newest version that this entry received and could not decode, if any. */
    private var unreadableVersion = StoreVersion.NONE

    /** Number of versions that could not be decoded. */
    var unreadableCount: Long = 0
        private set

    /** Newest version that this entry has received, whether it could decode it or not. */
    val receivedVersion: StoreVersion get() = maxOf(acceptedVersion, unreadableVersion)

    /** When it was last certain that the store has no version above [receivedVersion]. */
    var confirmedAt: Duration = -Duration.INFINITE
        private set

    /** Records that [version] is in force, or was received and holds an older desired state than the one in force. */
    fun accept(version: StoreVersion) {
        acceptedVersion = maxOf(acceptedVersion, version)
        announced.removeUpTo(acceptedVersion)
    }

    /**
     * Records that [version], received from [source] at [at], cannot be decoded. Returns false when this was known.
     */
    fun reject(version: StoreVersion, at: Duration, source: String): Boolean {
        if (version <= receivedVersion) return false
        unreadableVersion = version
        unreadableCount++
        announced.record(version, at, source)
        return true
    }

    /** Records that the store had no version above [receivedVersion] before [at]. */
    fun confirm(at: Duration) {
        if (at > confirmedAt) confirmedAt = at
    }

    /**
     * Takes what the entry [peer] said at [now].
     *
     * @param inForce version that is in force at the peer
     * @param received newest version that the peer has received
     * @param peerConfirmedAt time before which the store had no version above [received]
     */
    fun heard(
        peer: String,
        inForce: StoreVersion,
        received: StoreVersion,
        peerConfirmedAt: Duration,
        now: Duration,
    ) {
        inForceAtPeers[peer] = inForce
        receivedByPeers[peer] = received
        if (received > acceptedVersion) announced.record(received, now, peer)
        if (received == receivedVersion) confirm(peerConfirmedAt)
    }

    /** Forgets the versions of [peer], which is silent: no caller can be sent there, and nothing fetched from it. */
    fun forget(peer: String) {
        inForceAtPeers.remove(peer)
        receivedByPeers.remove(peer)
    }

    /** The announcement since which a newer version than the one in force is known; null when none is. */
    val behind: AnnouncedVersions.Announcement? get() {
        val earliest = announced.firstAfter(acceptedVersion) ?: return null
        return earliest.takeIf { newestKnown > acceptedVersion }
    }

    /** Newest version that this entry has or that another entry has received. */
    val newestKnown: StoreVersion get() = maxOf(receivedVersion, receivedByPeers.newest)

    /** Whether the newest version that is known has been received here and cannot be decoded. */
    val unreadable: Boolean get() = unreadableVersion > acceptedVersion && newestKnown <= unreadableVersion

    /** The age of the configuration at [now]. */
    fun age(now: Duration): ConfigurationAge {
        val overtaken = inForceAtPeers.newest > receivedVersion
        return ConfigurationAge(
            staleness = now - confirmedAt,
            newerKnown = newestKnown > acceptedVersion,
            overtakenSince = if (overtaken) announced.firstAfter(receivedVersion)?.at else null,
        )
    }
}
