package io.poplarwood.gateway.store

/** A kind of rows that an entry reads from the store. */
enum class Topic {
    /** The desired state; a single row. */
    DESIRED_STATE,

    /** The registrations of upstreams; one row for each upstream. */
    UPSTREAMS,

    /** Data that entries store for each other: one row for each entry, and one for each refused request. */
    ENTRIES,
}
