package io.poplarwood.bench.flood

import io.poplarwood.bench.virtual.ServiceTimes
import io.poplarwood.decision.dispatch.DispatcherSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Shape of a [FloodCell]: the service `counter` of the ordering host, concentrated on two entries per zone.
 *
 * @property service mean service time of a request of size 1
 * @property lostPart part of the answered attempts whose answer is lost on the way
 * @property warmUp time before the measured part of a run
 */
data class FloodSettings(
    val entries: Int = 6,
    val zones: Int = 3,
    val upstreams: Int = 20,
    val slots: Int = 3,
    val service: Duration = 10.milliseconds,
    val times: ServiceTimes = ServiceTimes.exponential(service),
    val betweenZones: Duration = 1.milliseconds,
    val lostPart: Double = 0.0,
    val warmUp: Duration = 5.seconds,
    val measured: Duration = 60.seconds,
    val seed: Long = 1,
    val dispatcher: DispatcherSettings = DispatcherSettings(),
)
