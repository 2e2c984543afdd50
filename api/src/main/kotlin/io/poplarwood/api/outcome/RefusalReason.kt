package io.poplarwood.api.outcome

import io.poplarwood.api.outcome.OutcomeKind.FAILED
import io.poplarwood.api.outcome.OutcomeKind.NOT_RUN
import io.poplarwood.api.outcome.OutcomeKind.UNKNOWN

/**
 * Why the load balancer generated a response itself. Each reason has a counter.
 *
 * @property wire value of the header `Poplarwood-Reason` and of the metric's label
 * @property kind what the caller may conclude
 * @property status HTTP status of the response
 */
enum class RefusalReason(val wire: String, val kind: OutcomeKind, val status: Int) {
    MALFORMED("malformed", NOT_RUN, 400),
    BODY_TOO_LARGE("body-too-large", NOT_RUN, 413),
    HEADERS_TOO_LARGE("headers-too-large", NOT_RUN, 431),
    CALLER_CONNECTIONS("caller-connections", NOT_RUN, 429),
    SLOW_CALLER("slow-caller", NOT_RUN, 408),
    UNKNOWN_SERVICE("unknown-service", NOT_RUN, 404),
    UNKNOWN_CLASS("unknown-class", NOT_RUN, 400),
    DEPTH_EXCEEDED("depth-exceeded", NOT_RUN, 508),
    OVERLOADED("overloaded", NOT_RUN, 503),
    QUEUE_FULL("queue-full", NOT_RUN, 503),
    WAIT_TOO_LONG("wait-too-long", NOT_RUN, 504),
    DEADLINE_PASSED("deadline-passed", NOT_RUN, 504),
    NO_UPSTREAM("no-upstream", NOT_RUN, 503),
    CONNECT_FAILED("connect-failed", NOT_RUN, 503),
    UPSTREAM_BUSY("upstream-busy", NOT_RUN, 503),
    UPSTREAM_DRAINING("upstream-draining", NOT_RUN, 503),
    CRASH_SUSPECT("crash-suspect", NOT_RUN, 503),
    NOT_FRESH("not-fresh", NOT_RUN, 503),
    STARTING("starting", NOT_RUN, 503),
    STOPPING("stopping", NOT_RUN, 503),
    CLAIM_UNAVAILABLE("claim-unavailable", NOT_RUN, 503),
    CALLER_GONE("caller-gone", NOT_RUN, 499),
    KEY_IN_FLIGHT("key-in-flight", UNKNOWN, 502),
    KEY_OWNER_GONE("key-owner-gone", UNKNOWN, 502),
    KEY_OWNER_UNREACHABLE("key-owner-unreachable", UNKNOWN, 502),
    KEY_EXPIRED("key-expired", UNKNOWN, 502),
    KEY_ANSWER_NOT_KEPT("key-answer-not-kept", UNKNOWN, 502),
    CONNECTION_LOST("connection-lost", UNKNOWN, 502),
    CONNECTION_SILENT("connection-silent", UNKNOWN, 502),
    ANSWER_TIMEOUT("answer-timeout", UNKNOWN, 504),
    ATTEMPTS_SPENT("attempts-spent", FAILED, 502),
    RETRY_BUDGET_SPENT("retry-budget-spent", FAILED, 502),
    DEADLINE_WHILE_RUNNING("deadline-while-running", FAILED, 504),
}
