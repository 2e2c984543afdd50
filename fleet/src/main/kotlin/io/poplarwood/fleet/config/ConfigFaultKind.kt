package io.poplarwood.fleet.config

/** Kinds of [ConfigFault]. */
enum class ConfigFaultKind {
    /** A number or a name is outside its range. */
    OUT_OF_RANGE,

    /** A target that cannot be met, such as a latency target above the deadline. */
    UNREACHABLE,

    /** Values that contradict each other, such as shares whose sum is over 1. */
    CONTRADICTORY,

    /** Two classes have the same name. */
    DUPLICATE_NAME,

    /** A reference to a class that the document does not define. */
    UNKNOWN_CLASS,

    /** A target without any requirement. */
    MISSING,

    /** The encoded document exceeds [DocumentValidator.MAX_BYTES]. */
    TOO_LARGE,
}
