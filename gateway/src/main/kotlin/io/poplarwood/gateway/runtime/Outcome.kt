package io.poplarwood.gateway.runtime

import io.poplarwood.gateway.log.GatewayEvent

/**
 * How a request ended, with the status that tells it.
 *
 * 503 promises that the request has not run and will not; 502 and 504 promise nothing.
 */
internal enum class Outcome(val label: String, val status: Int, val event: GatewayEvent) {
    ANSWERED("answered", 0, GatewayEvent.ANSWERED),
    NO_ROUTE("no-route", 404, GatewayEvent.REFUSED),
    NO_STATE("no-state", 503, GatewayEvent.REFUSED),
    STOPPING("stopping", 503, GatewayEvent.REFUSED),
    NO_UPSTREAM("no-upstream", 503, GatewayEvent.REFUSED),
    FULL("full", 503, GatewayEvent.REFUSED),
    SHED("shed", 503, GatewayEvent.REFUSED),
    NOT_SENT("not-sent", 503, GatewayEvent.REFUSED),
    CRASHES("crashes", 503, GatewayEvent.REFUSED),
    EXPIRED("expired", 503, GatewayEvent.REFUSED),
    LOST("lost", 502, GatewayEvent.UNKNOWN),
    TIMED_OUT("timed-out", 504, GatewayEvent.UNKNOWN),
    FAILED("failed", 500, GatewayEvent.UNKNOWN),
    CALLER_LEFT("caller-left", 0, GatewayEvent.LEFT),
}
