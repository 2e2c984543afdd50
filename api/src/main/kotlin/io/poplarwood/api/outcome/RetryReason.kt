package io.poplarwood.api.outcome

/**
 * Why a request was retried. Each reason has a counter.
 *
 * @property wire value of the metric's label
 * @property provenNotRun whether the previous attempt is known not to have run, so that non-idempotent requests
 *   may be retried too
 */
enum class RetryReason(val wire: String, val provenNotRun: Boolean) {
    CONNECT_FAILED("connect-failed", true),
    UPSTREAM_BUSY("upstream-busy", true),
    UPSTREAM_DRAINING("upstream-draining", true),
    CONNECTION_LOST("connection-lost", false),
    CONNECTION_SILENT("connection-silent", false),
    UPSTREAM_ERROR("upstream-error", false),
}
