package io.poplarwood.fleet

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.Zone
import io.poplarwood.fleet.recovery.StoreBudget

/**
 * Settings of one entry's [FleetNode].
 *
 * @property self this run of the entry
 * @property peerAddress `ip:port` at which other entries reach the peer listener
 * @property callerAddress `ip:port` that callers use
 * @property seeds `ip:port` of peer listeners to contact in addition to those in the VM list
 * @property budget capacity of the store and its division among entries
 * @property limited false removes the rate limits on store operations; for measurements only
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
