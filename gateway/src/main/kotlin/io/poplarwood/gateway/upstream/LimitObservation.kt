package io.poplarwood.gateway.upstream

import kotlin.time.Duration

/**
 * The limit that one answer named. Times are readings of the entry's ticker.
 *
 * @property perSecond requests per second that the upstream accepts from all entries together; null when the answer
 * named no limit
 * @property sentAt when the request of the answer was sent
 * @property receivedAt when the answer was received
 */
internal data class LimitObservation(val perSecond: Double?, val sentAt: Duration, val receivedAt: Duration)
