package io.poplarwood.gateway.upstream

/**
 * One incarnation of an upstream.
 *
 * @property id name under which the upstream registered; a restarted upstream may keep it
 * @property startMs start of the incarnation in milliseconds since the epoch, 0 when unknown
 */
internal data class IncarnationId(val id: String, val startMs: Long)
