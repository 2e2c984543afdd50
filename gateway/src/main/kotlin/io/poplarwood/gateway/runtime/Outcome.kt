package io.poplarwood.gateway.runtime

import io.poplarwood.gateway.log.GatewayEvent

/**
 * How a request ended.
 *
 * Status 503 guarantees that the request has not run and will not run; 500, 502 and 504 guarantee nothing.
 *
 * @property label value of log fields and of the metric label
 * @property status HTTP status of the reply that the entry generates; 0 when it generates none
 */
internal enum class Outcome(val label: String, val status: Int, val event: GatewayEvent) {
    ANSWERED("answered", 0, GatewayEvent.ANSWERED),
    NO_ROUTE("no-route", 404, GatewayEvent.REFUSED),
    UNREADABLE_ROUTE("unreadable-route", 503, GatewayEvent.REFUSED),
    NO_STATE("no-state", 503, GatewayEvent.REFUSED),
    BEHIND("behind", 503, GatewayEvent.REFUSED),
    STOPPING("stopping", 503, GatewayEvent.REFUSED),
    NO_UPSTREAM("no-upstream", 503, GatewayEvent.REFUSED),
    RATE_LIMITED("rate-limited", 503, GatewayEvent.REFUSED),
    FULL("full", 503, GatewayEvent.REFUSED),
    SHED("shed", 503, GatewayEvent.REFUSED),
    HELPER_REFUSED("helper-refused", 503, GatewayEvent.REFUSED),
    NOT_SENT("not-sent", 503, GatewayEvent.REFUSED),
    CRASHES("crashes", 503, GatewayEvent.REFUSED),
    EXPIRED("expired", 503, GatewayEvent.REFUSED),
    LOST("lost", 502, GatewayEvent.UNKNOWN),
    NO_MEMORY("no-memory", 502, GatewayEvent.UNKNOWN),
    TIMED_OUT("timed-out", 504, GatewayEvent.UNKNOWN),
    FAILED("failed", 500, GatewayEvent.UNKNOWN),
    CALLER_LEFT("caller-left", 0, GatewayEvent.LEFT),
}
