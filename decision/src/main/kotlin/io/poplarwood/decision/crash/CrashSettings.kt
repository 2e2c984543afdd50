package io.poplarwood.decision.crash

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Constants of a [CrashTable].
 *
 * @property propagationTime time within which the report of a loss reaches every entry
 * @property trialWindow time within which one entry may start a trial before the next entry may
 * @property trialSpacing time between the starts of two entries' windows: the window itself, a late report of the loss
 *   from which the windows are counted, a late report of the trial's own loss, and a second for the trial to fail
 * @property minRestartTime shortest time in which a crashed upstream can restart; one that responds sooner has not
 *   crashed
 * @property expiry time after which a suspicion is dropped
 * @property lossesToQuarantine lost upstreams after which a request runs only alone
 * @property lossesToRefuse lost upstreams after which a request is refused
 * @property maxFingerprints suspicions held; beyond them, the oldest is dropped
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
