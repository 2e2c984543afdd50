package io.poplarwood.api.outcome

/**
 * Why a request got a further attempt. Each has a counter.
 *
 * @property wire value of the metric's label
 * @property provenNotRun whether the earlier attempt is known not to have run, so that any request may be retried
 */
enum class RetryReason(val wire: String, val provenNotRun: Boolean) {
    CONNECT_FAILED("connect-failed", true),
    UPSTREAM_BUSY("upstream-busy", true),
    UPSTREAM_DRAINING("upstream-draining", true),
    CONNECTION_LOST("connection-lost", false),
    CONNECTION_SILENT("connection-silent", false),
    UPSTREAM_ERROR("upstream-error", false),
}
