package io.poplarwood.gateway.store

/** What an entry follows in the store. */
enum class Topic {
    /** The desired state; one row. */
    DESIRED_STATE,

    /** The registrations of upstreams; one row each. */
    UPSTREAMS,

    /** What entries keep for each other: one row for each entry, and one for each request that is refused for good. */
    ENTRIES,
}
