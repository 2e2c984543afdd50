package io.poplarwood.gateway.runtime

/** What a check of an upstream showed. */
internal enum class Liveness {
    /** It accepts connections, or has answered or reported its load. */
    ACCEPTING,

    /** It refuses connections, or another incarnation has registered. */
    ENDED,

    /** Nothing answers; the path to it may be cut. */
    SILENT,
}
