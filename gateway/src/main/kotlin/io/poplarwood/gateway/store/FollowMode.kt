package io.poplarwood.gateway.store

/** How an entry follows the store. */
internal enum class FollowMode {
    /** It follows for all entries. */
    QUICK,

    /** It has not heard of the store lately and looks for itself, at a pace that all entries share. */
    SHARED,

    /** Others follow the store for it. */
    NONE,
}
