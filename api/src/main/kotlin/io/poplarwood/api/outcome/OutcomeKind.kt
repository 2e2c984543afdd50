package io.poplarwood.api.outcome

/**
 * What a caller may conclude from an answer that is not the upstream's own.
 *
 * @property wire value of the header `Poplarwood-Outcome`
 */
enum class OutcomeKind(val wire: String) {
    /** The request did not run. It may be sent again. */
    NOT_RUN("not-run"),

    /** The request may have run. The system does not repeat it. */
    UNKNOWN("unknown"),

    /** An idempotent request whose attempts are spent. It may be sent again. */
    FAILED("failed"),
}
