package io.poplarwood.bench.routing

import kotlin.time.Duration

/**
 * RoutingFigures of one policy under one scenario. Latencies are those of the urgent rank.
 *
 * @property failed share of requests that ended with an error
 * @property unanswered share of requests that had not ended 5 s after the last arrival
 * @property bytesPerSecond bytes of slot messages that an entry sends a second
 */
internal class RoutingFigures(
    val p50: Duration,
    val p99: Duration,
    val p999: Duration,
    val othersP99: Duration,
    val extraAttempts: Double,
    val failed: Double,
    val unanswered: Double,
    val bytesPerSecond: Double,
)
