package io.poplarwood.decision.crash

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Constants of a [CrashTable].
 *
 * @property propagationTime time that news of a loss may take to reach every entry
 * @property trialWindow time for which one entry may start a trial before the next one may
 * @property trialSpacing time between the windows of two entries: the window, late news of the loss that it counts
 *   from, late news of the trial's own loss, and a second for the trial to fail
 * @property minRestartTime time below which an upstream that answers again cannot have crashed
 * @property expiry time after which a suspicion is dropped
 * @property lossesToQuarantine lost upstreams after which a request runs only alone
 * @property lossesToRefuse lost upstreams after which a request is refused
 * @property maxFingerprints suspicions held; the oldest is dropped beyond
 */
data class CrashSettings(
    val propagationTime: Duration = 1.seconds,
    val trialWindow: Duration = 1.seconds,
    val trialSpacing: Duration = 4.seconds,
    val minRestartTime: Duration = 300.milliseconds,
    val expiry: Duration = 10.minutes,
    val lossesToQuarantine: Int = 2,
    val lossesToRefuse: Int = 3,
    val maxFingerprints: Int = 10_000,
)
