package io.poplarwood.decision.routing.baseline

import io.poplarwood.api.id.UpstreamId

/** Upstreams that a [SelectionStrategy] may use for one attempt. */
interface Candidates {
    /** Number of candidates, at least 1. */
    val count: Int

    fun id(index: Int): UpstreamId

    /** Requests that this entry has in flight at candidate [index]. */
    fun inFlight(index: Int): Int
}
