package io.poplarwood.decision.routing

import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.id.Zone

/**
 * One upstream as membership knows it.
 *
 * @property slots requests that the upstream runs concurrently, as listed or reported
 * @property connectionLimit connections that the upstream accepts from all entries together
 * @property state whether the upstream may get new work
 */
data class UpstreamView(
    val id: UpstreamId,
    val zone: Zone,
    val slots: Int,
    val connectionLimit: Int,
    val state: UpstreamState,
)
