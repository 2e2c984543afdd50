package io.poplarwood.standins.upstream

import io.poplarwood.api.id.ServiceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Configuration of a stand-in upstream.
 *
 * @property slots number of requests processed concurrently
 * @property connectionLimit number of open connections allowed; further connections are reset
 * @property serviceTime median service time of a request without the header [StandInHeaders.WORK_MS]
 * @property sigma shape parameter of the log-normal distribution of service times; 0 makes all service times equal
 * @property coldStartDuration time after a start during which service times are longer
 * @property coldStartFactor factor on service times at the start; decreases linearly to 1 over [coldStartDuration]
 * @property maxQueued number of requests that may wait for a slot; with 0, requests are shed when all slots are taken
 * @property seed seed of the random service times
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
