package io.poplarwood.decision.routing

import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.work.Rank

/**
 * What a router needs to know about one attempt.
 *
 * @property tried upstreams that earlier attempts of the same request used
 * @property alone whether the upstream must run nothing else of this entry, because the request is suspected of
 *   crashing upstreams
 */
data class RouteRequest(val rank: Rank, val tried: List<UpstreamId> = emptyList(), val alone: Boolean = false)
