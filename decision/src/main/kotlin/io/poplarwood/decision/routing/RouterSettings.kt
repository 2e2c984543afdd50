package io.poplarwood.decision.routing

import io.poplarwood.api.id.Zone
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of a [SlotRouter].
 *
 * @property zone zone of this entry; upstreams and peers there are near
 * @property subsetSize upstreams of a large service that one entry uses, on average
 * @property wantBytesPerSecond bytes of wants and gives this entry may send for the service
 * @property shedsPerRequest extra attempts an entry accepts for dispatching without a lease, per granted request
 * @property ramp time over which work to a new or returning upstream grows to its full share
 * @property connectionReserve share of an upstream's connections kept for entries that restart
 */
data class RouterSettings(
    val zone: Zone,
    val subsetSize: Int = 40,
    val wantBytesPerSecond: () -> Int = { SERVICE_BYTES_PER_SECOND },
    val shedsPerRequest: Double = 0.15,
    val ramp: Duration = 5.seconds,
    val connectionReserve: Double = 0.2,
    val renewalInterval: Duration = 1.seconds,
    val leaseLifetime: Duration = 2500.milliseconds,
) {
    companion object {
        /** Bytes of wants and gives that one entry may send a second for one service. */
        const val SERVICE_BYTES_PER_SECOND: Int = 6_000

        /** The same over all services; with 4.9 KB/s of membership it stays below 13 KB/s for all control. */
        const val TOTAL_BYTES_PER_SECOND: Int = 8_000

        /** Part of one of [services] services. */
        fun wantShare(services: Int): Int = minOf(SERVICE_BYTES_PER_SECOND, TOTAL_BYTES_PER_SECOND / maxOf(1, services))
    }
}
