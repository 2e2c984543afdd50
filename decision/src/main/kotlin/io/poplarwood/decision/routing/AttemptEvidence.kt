package io.poplarwood.decision.routing

import kotlin.time.Duration

/**
 * What an attempt showed about its upstream.
 *
 * @property latency time from sending the request to the end of the answer
 * @property reportedInFlight load carried on the answer; null when there was none
 * @property reportedSlots slots carried on the answer; null when there were none
 */
data class AttemptEvidence(
    val result: AttemptResult,
    val latency: Duration,
    val reportedInFlight: Int? = null,
    val reportedSlots: Int? = null,
)
