package io.poplarwood.gateway.settings

import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of one gateway process.
 *
 * @property entry name of this entry, unique within the installation
 * @property zone availability zone of this entry
 * @property listen addresses of the listeners
 * @property store address and limits of the store
 * @property limits resources that the process may use
 * @property bounds times and rates that the installation guarantees
 */
@Serializable
data class GatewaySettings(
    val entry: String,
    val zone: String,
    val listen: ListenSettings,
    val store: StoreSettings,
    val limits: ProcessLimits,
    val bounds: Bounds,
)

/**
 * Addresses of the listeners, as `ip:port`.
 *
 * @property callers serves requests of callers
 * @property readiness replies to checks whether this entry takes requests
 * @property directory replies to callers that query for the entries to use
 * @property peers exchanges messages with other entries, over TCP and UDP
 * @property relay serves requests that other entries send on because they cannot reach upstreams; null where this entry
 * does not
 * @property metrics serves metrics in the Prometheus text format
 */
@Serializable
data class ListenSettings(
    val callers: String,
    val readiness: String,
    val directory: String,
    val peers: String,
    val metrics: String,
    val relay: String? = null,
)

/**
 * @property address `ip:port`
 * @property readsPerSecond read calls per second that all entries together may make
 * @property writesPerSecond write calls per second that all entries together may make
 * @property rowBytes maximum size of a row's value, in bytes
 * @property heartbeatS interval at which upstreams renew their registrations, in seconds; one that has been silent for
 * three of them is no longer registered
 */
@Serializable
data class StoreSettings(
    val address: String,
    val readsPerSecond: Double,
    val writesPerSecond: Double,
    val rowBytes: Int,
    val heartbeatS: Double = DEFAULT_HEARTBEAT_S,
) {
    /** Time after which the registration of an upstream that has ended is gone, at every entry. */
    val registrationExpiry: Duration get() = (heartbeatS * HEARTBEATS_TO_EXPIRY).seconds + EXPIRY_MARGIN

    private companion object {
        const val DEFAULT_HEARTBEAT_S = 1.5
        const val HEARTBEATS_TO_EXPIRY = 3
        val EXPIRY_MARGIN = 1.seconds
    }
}

/**
 * @property memoryMb memory of the VM, in megabytes; a process that exceeds it is killed
 * @property maxDescriptors maximum number of open file descriptors
 * @property processorShare share of a core that the process gets
 * @property processorSpeed speed of that core as a multiple of a typical core's
 * @property linkMbps bandwidth of the VM's link, in megabits per second
 */
@Serializable
data class ProcessLimits(
    val memoryMb: Int,
    val maxDescriptors: Int,
    val processorShare: Double = 1.0,
    val processorSpeed: Double = 1.0,
    val linkMbps: Double = DEFAULT_LINK_MBPS,
) {
    private companion object {
        const val DEFAULT_LINK_MBPS = 1_000.0
    }
}

/**
 * Bounds that the installation keeps. Properties whose names end in `S` but not in `PerS` are times in seconds.
 *
 * @property drainS time after which a draining upstream must get no more work
 * @property graceS time between the signal to stop and the end of the process
 * @property changeS time within which a new desired state must be in force
 * @property repeatRatio retries allowed per request, over all entries; a retry is any attempt beyond the first
 * @property repeatSlack retries allowed in each window in addition to [repeatRatio]
 * @property repeatWindowS length of the window over which requests and retries are counted
 * @property directoryLifetimeS maximum time for which callers may use a directory reply
 * @property probesPerS health probes per second of each upstream that all entries together may make
 */
@Serializable
data class Bounds(
    val drainS: Double,
    val graceS: Double,
    val changeS: Double,
    val repeatRatio: Double,
    val repeatSlack: Double,
    val repeatWindowS: Double,
    val directoryLifetimeS: Double,
    val probesPerS: Double,
)
