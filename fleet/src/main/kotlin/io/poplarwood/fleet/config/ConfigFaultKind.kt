package io.poplarwood.fleet.config

/** Kinds of [ConfigFault]. */
enum class ConfigFaultKind {
    /** A number or a name is outside its range. */
    OUT_OF_RANGE,

    /** A target that no system can meet, such as a time longer than the deadline. */
    UNREACHABLE,

    /** Values that contradict each other, such as shares whose sum is over 1. */
    CONTRADICTORY,

    /** Two classes with one name. */
    DUPLICATE_NAME,

    /** A name that no class has. */
    UNKNOWN_CLASS,

    /** A target that asks for nothing. */
    MISSING,

    /** The encoded document is larger than an entry forwards. */
    TOO_LARGE,
}
