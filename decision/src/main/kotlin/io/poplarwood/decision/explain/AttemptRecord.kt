package io.poplarwood.decision.explain

import io.poplarwood.api.id.UpstreamId
import kotlinx.serialization.Serializable

/**
 * One attempt of an explained request.
 *
 * @property considered number of upstreams that the router compared
 * @property excluded upstreams excluded because an earlier attempt used them
 * @property alone whether the upstream had to run nothing else of this entry
 * @property waitedMs time in the queue before the attempt, in milliseconds
 * @property ranMs time from dispatch to the end of the attempt, in milliseconds; null while it runs
 * @property result wire name of the attempt's result; null while it runs
 * @property retry reason for a further attempt; null for the first one
 */
@Serializable
data class AttemptRecord(
    val upstream: UpstreamId,
    val considered: Int,
    val excluded: List<UpstreamId>,
    val alone: Boolean,
    val waitedMs: Double,
    val ranMs: Double? = null,
    val result: String? = null,
    val retry: String? = null,
)
