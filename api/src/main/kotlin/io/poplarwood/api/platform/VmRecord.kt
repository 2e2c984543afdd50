package io.poplarwood.api.platform

import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.id.Zone
import kotlinx.serialization.Serializable

/**
 * One VM as the platform lists it.
 *
 * @property role what runs there
 * @property address `ip:port` of its listener: HTTP for an upstream, the peer listener for an entry
 * @property incarnation identity of the current run of the VM
 * @property service service of an upstream; null for an entry
 * @property slots number of requests that an upstream processes concurrently, as reported by the platform
 * @property connectionLimit number of connections that an upstream accepts
 */
@Serializable
data class VmRecord(
    val role: VmRole,
    val address: String,
    val incarnation: String,
    val zone: Zone,
    val state: VmState = VmState.LIVE,
    val service: ServiceName? = null,
    val slots: Int = 1,
    val connectionLimit: Int = 250,
)
