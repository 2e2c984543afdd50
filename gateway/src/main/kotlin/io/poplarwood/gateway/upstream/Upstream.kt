package io.poplarwood.gateway.upstream

import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.id.Zone
import kotlin.time.Duration

/**
 * One incarnation of an upstream, as it registered itself.
 *
 * @property id name under which the upstream registered; a restarted upstream may keep it
 * @property born start of this incarnation in milliseconds since the epoch, 0 when unknown
 * @property address `ip:port`
 * @property slots number of requests that the upstream executes concurrently
 * @property draining whether the upstream is about to stop and accepts no new requests
 * @property warmup remaining time for which the upstream is slow after its start
 */
data class Upstream(
    val id: String,
    val startMs: Long,
    val address: String,
    val zone: Zone,
    val service: ServiceName,
    val slots: Int,
    val draining: Boolean,
    val warmup: Duration,
)
