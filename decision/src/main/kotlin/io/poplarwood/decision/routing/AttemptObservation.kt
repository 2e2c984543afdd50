package io.poplarwood.decision.routing

import kotlin.time.Duration

/**
 * Observation that one attempt yields about its upstream.
 *
 * @property latency time from sending the request to the end of the response
 * @property reportedInFlight in-flight requests that the response reports for the upstream; null when it reports none
 * @property reportedSlots slots that the response reports for the upstream; null when it reports none
 */
data class AttemptObservation(
    val result: AttemptResult,
    val latency: Duration,
    val reportedInFlight: Int? = null,
    val reportedSlots: Int? = null,
)
