package io.poplarwood.gateway.support

import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.id.Zone
import io.poplarwood.gateway.decision.RequestEstimate
import io.poplarwood.gateway.http.HeaderNames
import io.poplarwood.gateway.route.RequestKind
import io.poplarwood.gateway.route.Route
import io.poplarwood.gateway.route.ServiceShare
import io.poplarwood.gateway.upstream.Upstream
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal val HEADER_NAMES = HeaderNames(
    requestId = "request-id",
    deadlineMs = "deadline-ms",
    expectedUpstream = "expected-upstream",
    upstreamId = "upstream-id",
    signature = "signature",
    notExecuted = "not-executed",
    draining = "draining",
    rateLimit = "rate-limit",
    load = "load",
)

internal val SERVICE = ServiceName("s1")

internal fun upstream(id: String, slots: Int = 3, zone: String = "z1", draining: Boolean = false, born: Long = 1) =
    Upstream(id, born, "10.0.0.1:${80 + id.hashCode().mod(1000)}", Zone(zone), SERVICE, slots, draining, Duration.ZERO)

internal fun route(prefix: String, vararg shares: Pair<String, Int>, host: String = "a.example") = Route(
    host = host,
    name = "r$prefix",
    prefix = prefix,
    kind = RequestKind.IDEMPOTENT,
    timeout = 1.seconds,
    target = 200.milliseconds,
    priority = 0,
    maxAttempts = 2,
    shares = shares.map { ServiceShare(ServiceName(it.first), it.second) }.toImmutableList()
        .ifEmpty { persistentListOf(ServiceShare(SERVICE, 1)) }.toImmutableList(),
)

internal fun job(ms: Int = 60) = RequestEstimate(ms.milliseconds, 0)
