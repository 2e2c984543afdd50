package io.poplarwood.standins.upstream

import io.poplarwood.api.id.ServiceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What a stand-in upstream is.
 *
 * @property slots requests it runs at once
 * @property connectionLimit connections it accepts; further ones are closed at once
 * @property serviceTime median time a request takes, unless its header [StandInHeaders.WORK_MS] names another
 * @property sigma sigma of the log-normal distribution of service times; 0 makes all equal
 * @property coldStartDuration time after start during which requests take longer
 * @property coldStartFactor factor on service times at the start; falls to 1 over [coldStartDuration]
 * @property maxQueued requests that may wait for a slot; 0 sheds at once
 * @property seed seed of the service times
 */
data class UpstreamOptions(
    val service: ServiceName,
    val slots: Int = 3,
    val connectionLimit: Int = 250,
    val serviceTime: Duration = 10.milliseconds,
    val sigma: Double = 0.3,
    val coldStartDuration: Duration = Duration.ZERO,
    val coldStartFactor: Double = 5.0,
    val maxQueued: Int = 0,
    val seed: Long = 1,
)
