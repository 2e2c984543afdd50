package io.poplarwood.gateway.store

/** What an entry follows in the store. */
enum class Topic {
    /** The desired state; one row. */
    DESIRED_STATE,

    /** The registrations of upstreams; one row each. */
    UPSTREAMS,

    /** The entries of this installation; one row each. */
    ENTRIES,
}
