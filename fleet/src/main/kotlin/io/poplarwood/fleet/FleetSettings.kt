package io.poplarwood.fleet

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.Zone
import io.poplarwood.fleet.recovery.StoreBudget

/**
 * Settings of one entry's [FleetNode].
 *
 * @property self this run of the entry
 * @property peerAddress `ip:port` of the peer listener, as others reach it
 * @property callerAddress `ip:port` that callers use
 * @property seeds peer listeners to try besides those in the VM list
 * @property budget what the store of the cell takes
 * @property limited false removes the limits on store operations; for measurements only
 */
data class FleetSettings(
    val self: EntryRef,
    val peerAddress: String,
    val callerAddress: String,
    val zone: Zone,
    val seeds: List<String> = emptyList(),
    val budget: StoreBudget = StoreBudget(),
    val limited: Boolean = true,
)
