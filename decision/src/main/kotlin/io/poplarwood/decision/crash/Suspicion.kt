package io.poplarwood.decision.crash

import io.poplarwood.api.id.UpstreamId
import kotlin.time.Duration

/**
 * Row of one fingerprint: the losses of upstreams that ran it.
 *
 * @property trialAt start of the trial that runs now; null when none does
 */
internal class Suspicion {
    class Loss(val upstream: UpstreamId, val learnedAt: Duration, val observedHere: Boolean)

    val losses = ArrayList<Loss>(2)
    var trialAt: Duration? = null

    val lastLearnedAt: Duration get() = losses.maxOf { it.learnedAt }

    fun lossAt(upstream: UpstreamId): Loss? = losses.lastOrNull { it.upstream == upstream }
}
