package io.poplarwood.gateway.metrics

import io.poplarwood.gateway.store.StoreVersion
import kotlin.time.Duration

/**
 * What the metrics show of the configuration.
 *
 * @property version version of the desired state in force; 0 when there is none
 * @property storeVersion store version of its row
 * @property staleness time since it was certain that the store has no version beyond those received
 * @property behindFor time since a newer version than the one in force is known; zero when none is
 * @property unreadableCount number of versions that could not be decoded
 */
internal data class ConfigurationStatus(
    val version: Long,
    val storeVersion: StoreVersion,
    val staleness: Duration,
    val behindFor: Duration,
    val unreadableCount: Long,
) {
    companion object {
        /** Status before anything has arrived. */
        val NONE: ConfigurationStatus = ConfigurationStatus(0, StoreVersion.NONE, Duration.INFINITE, Duration.ZERO, 0)
    }
}
