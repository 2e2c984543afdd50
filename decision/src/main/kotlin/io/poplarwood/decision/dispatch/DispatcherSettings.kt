package io.poplarwood.decision.dispatch

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Constants of one dispatcher's policy. Operators do not set them; measurements do (docs/decisions/admission.md).
 *
 * @property maxQueueLength calls that one class may have waiting
 * @property urgentReserve part of this entry's slots, 0..1, that other ranks leave free for urgent work
 * @property refusedWeight slots of an entry at which a call refused lately weighs as much as a waiting one, when
 *   entries compare who needs a slot
 * @property maxWaitShare part of a class's target, 0..1, that a call may wait before it is served
 * @property shareWindow time over which a class's kept share is settled
 * @property maxAttempts attempts of one call, answers "busy" included
 * @property retryShare retries allowed for each success of a class
 * @property minRetriesPerSecond retries a second that a class with few successes may use
 * @property retryDelay upper bound of the random delay before a second attempt; doubles with each further one
 * @property shedThreshold part of recent attempts answered "busy" above which the service as a whole sheds
 * @property noUpstreamRetryAfter time named to callers when there is no upstream
 * @property minRetryAfter least time named to callers in a refusal
 */
data class DispatcherSettings(
    val maxQueueLength: Int = 1_000,
    val urgentReserve: Double = 0.04,
    val refusedWeight: Double = 10.0,
    val maxWaitShare: Double = 0.5,
    val shareWindow: Duration = 500.milliseconds,
    val maxAttempts: Int = 6,
    val retryShare: Double = 0.1,
    val minRetriesPerSecond: Double = 0.5,
    val retryDelay: Duration = 10.milliseconds,
    val shedThreshold: Double = 0.5,
    val noUpstreamRetryAfter: Duration = 1.seconds,
    val minRetryAfter: Duration = 50.milliseconds,
)
