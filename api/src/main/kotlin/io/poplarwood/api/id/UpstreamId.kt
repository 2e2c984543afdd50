package io.poplarwood.api.id

import kotlinx.serialization.Serializable

/**
 * One incarnation of one upstream.
 *
 * @property address `ip:port` that accepts connections
 * @property incarnation identity of the VM's current run as the platform lists it; the same address with another
 *   incarnation is a new upstream
 */
@Serializable
data class UpstreamId(val address: String, val incarnation: String) : Comparable<UpstreamId> {
    override fun compareTo(other: UpstreamId): Int = compareValuesBy(this, other, { it.address }, { it.incarnation })

    override fun toString(): String = "$address#$incarnation"
}
