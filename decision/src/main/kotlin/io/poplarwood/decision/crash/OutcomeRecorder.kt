package io.poplarwood.decision.crash

import io.poplarwood.api.id.UpstreamId
import kotlin.time.Duration

/**
 * Losses of upstreams while they ran requests with one fingerprint.
 *
 * @property trialAt start of the running trial; null when none runs
 */
internal class OutcomeRecorder {
    class Loss(val upstream: UpstreamId, val learnedAt: Duration, val observedHere: Boolean)

    val losses = ArrayList<Loss>(2)
    var trialAt: Duration? = null

    val lastLearnedAt: Duration get() = losses.maxOf { it.learnedAt }

    fun lossAt(upstream: UpstreamId): Loss? = losses.lastOrNull { it.upstream == upstream }
}
