package io.poplarwood.gateway.store

/** Up to which store versions the registrations of this entry are known. */
internal class RegistrationVersions {
    /** Version of the newest change. */
    var newest: StoreVersion = StoreVersion.NONE
        private set

    /** Version up to which every registration has arrived. */
    var covered: StoreVersion = StoreVersion.NONE
        private set

    /** Version of the last list of all registrations, which does not show what was removed before it. */
    var listedAt: StoreVersion = StoreVersion.NONE
        private set

    /** Version from which to [covered] no registration changed or was removed. */
    val unchangedSince: StoreVersion get() = maxOf(newest, listedAt)

    /** Records a list of all registrations at [version]; one that is not newer than [covered] tells nothing new. */
    fun listed(version: StoreVersion) {
        if (version > covered) listedAt = version
    }

    /** Records that everything up to [version] has arrived. */
    fun cover(version: StoreVersion) {
        covered = maxOf(covered, version)
    }

    /** Records a change at [version]; returns false if it is not the newest. */
    fun changed(version: StoreVersion): Boolean {
        if (version <= newest) return false
        newest = version
        return true
    }
}
