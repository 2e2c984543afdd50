package io.poplarwood.bench.deep

/** Which levels of a chain of calls may retry. */
internal enum class RetryLevels {
    /** Only the outermost, as the entries ask each other by `Poplarwood-Retry: no`. */
    OUTERMOST,

    /** Every level, each within its own budget. */
    EVERY,
}
