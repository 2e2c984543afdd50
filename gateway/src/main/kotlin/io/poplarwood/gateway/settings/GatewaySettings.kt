package io.poplarwood.gateway.settings

import kotlinx.serialization.Serializable

/**
 * Settings of one gateway process.
 *
 * @property entry name of this entry, unique within the installation
 * @property listen addresses of the listeners
 * @property store address and rates of the store
 * @property limits what the process may use
 * @property bounds promises that the installation makes
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
 * Addresses as `ip:port`.
 *
 * @property callers takes callers' requests
 * @property readiness answers whether this entry takes requests
 * @property directory tells callers which entries to use
 * @property peers exchanges news with other entries, over TCP and UDP
 * @property metrics serves metrics as text
 */
@Serializable
data class ListenSettings(
    val callers: String,
    val readiness: String,
    val directory: String,
    val peers: String,
    val metrics: String,
)

/**
 * @property address `ip:port`
 * @property readsPerSecond calls that all entries together may make
 * @property rowBytes largest value of a row
 */
@Serializable
data class StoreSettings(
    val address: String,
    val readsPerSecond: Double,
    val writesPerSecond: Double,
    val rowBytes: Int,
)

/**
 * @property memoryMb memory of the VM, beyond which the process is ended
 * @property processorShare share of a core that the process gets
 * @property processorSpeed how many times as fast as a usual core that core is
 * @property linkMbps bandwidth of the VM's link, in megabits a second
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
 * Times in seconds.
 *
 * @property drainS within which a leaving upstream must get no more work
 * @property graceS between the signal to stop and the end of the process
 * @property changeS within which a desired state must be in force
 * @property repeatRatio attempts beyond the first that each request allows, over all entries
 * @property repeatSlack attempts beyond the first allowed in each window besides
 * @property repeatWindowS span over which these are counted
 * @property directoryLifetimeS longest time for which a directory's answer counts
 * @property probesPerS health probes of each upstream that all entries together may make
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
