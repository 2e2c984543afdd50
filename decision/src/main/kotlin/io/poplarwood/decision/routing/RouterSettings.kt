package io.poplarwood.decision.routing

import io.poplarwood.api.id.Zone
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of a [SlotRouter].
 *
 * @property zone zone of this entry; upstreams and peers of the same zone are preferred
 * @property subsetSize upstreams of a large service that one entry uses, on average
 * @property leaseBytesPerSecond bytes per second that this entry may send in lease requests and grants of the service
 * @property shedsPerRequest sheds that this entry accepts per granted request in return for dispatching without a lease
 * @property ramp time over which work to a new or returning upstream grows to its full share
 * @property connectionReserve share, 0..1, of an upstream's connections kept for entries that restart
 * @property leaseLifetime time after its last renewal at which a lease expires
 */
data class RouterSettings(
    val zone: Zone,
    val subsetSize: Int = 40,
    val leaseBytesPerSecond: () -> Int = { SERVICE_BYTES_PER_SECOND },
    val shedsPerRequest: Double = 0.15,
    val ramp: Duration = 5.seconds,
    val connectionReserve: Double = 0.2,
    val renewalInterval: Duration = 1.seconds,
    val leaseLifetime: Duration = 2500.milliseconds,
) {
    companion object {
        /** Bytes of lease requests and grants that one entry may send per second for one service. */
        const val SERVICE_BYTES_PER_SECOND: Int = 6_000

        /** Limit over all services; with 4.9 KB/s of membership traffic, control traffic stays below 13 KB/s. */
        const val TOTAL_BYTES_PER_SECOND: Int = 8_000

        /** Bytes per second that each of [services] services may use. */
        fun leaseBytesPerService(services: Int): Int = minOf(
            SERVICE_BYTES_PER_SECOND,
            TOTAL_BYTES_PER_SECOND / maxOf(1, services),
        )
    }
}
