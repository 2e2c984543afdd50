package io.poplarwood.bench.virtual

/** What a fake upstream does with a request that finds all slots taken. */
enum class WhenFull {
    /** Answers "busy, not run" at once. */
    SHED,

    /** Keeps the request until a slot is free, first come first served. */
    QUEUE,
}
