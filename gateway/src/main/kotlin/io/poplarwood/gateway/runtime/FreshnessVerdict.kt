package io.poplarwood.gateway.runtime

/** What a request meets at an entry, by the age of the configuration there. */
internal enum class FreshnessVerdict {
    /** The request is handled under its route. */
    SERVE,

    /** There is no route for the request, and none was added lately. */
    NOT_FOUND,

    /** Another entry has a newer configuration and can answer at once. */
    REFUSE_FOR_OTHER_ENTRY,

    /** A route for the request may have been added, and no entry that has it is known. */
    REFUSE_UNTIL_CONFIRMED,
}
