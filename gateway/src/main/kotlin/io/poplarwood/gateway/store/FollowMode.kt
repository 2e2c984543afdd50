package io.poplarwood.gateway.store

/** How an entry follows the store. */
internal enum class FollowMode {
    /** The entry follows the store on behalf of all entries. */
    QUICK,

    /** The data of the entry is stale, so it polls the store at a rate that all entries share. */
    SHARED,

    /** Other entries follow the store for this entry. */
    NONE,
}
