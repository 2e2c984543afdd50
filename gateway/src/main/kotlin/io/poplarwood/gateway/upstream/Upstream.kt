package io.poplarwood.gateway.upstream

import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.id.Zone
import kotlin.time.Duration

/**
 * One life of one upstream as it registered itself.
 *
 * @property id name under which it registered; a restarted upstream may keep it
 * @property born start of this life in milliseconds since the epoch, 0 when unknown
 * @property address `ip:port`
 * @property slots requests that it runs at once
 * @property draining it is about to leave and takes no new work
 * @property warmup how much longer it is slow after its start
 */
data class Upstream(
    val id: String,
    val born: Long,
    val address: String,
    val zone: Zone,
    val service: ServiceName,
    val slots: Int,
    val draining: Boolean,
    val warmup: Duration,
)
