package io.poplarwood.decision.dispatch

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Constants of one dispatcher's policy. Operators do not set them; for their values see docs/decisions/admission.md.
 *
 * @property maxQueueLength calls of one class that may wait
 * @property urgentReserve share, 0..1, of this entry's slots that other ranks leave free for urgent work
 * @property refusedWeight number of slots of an entry at which a recently refused call weighs as much as a waiting one,
 *   when entries compare their need for a lease
 * @property maxWaitShare share, 0..1, of a class's target time that a call may spend waiting
 * @property shareWindow time whose guaranteed slot time bounds the credit and the debt of a class
 * @property maxAttempts attempts of one call, including attempts that the upstream shed
 * @property retryShare retries allowed per success of a class
 * @property minRetriesPerSecond retries per second that a class with few successes may use
 * @property retryDelay upper bound of the random delay before a second attempt; doubles with each further attempt
 * @property shedThreshold share of recent attempts that were shed above which the service as a whole counts as shedding
 * @property noUpstreamRetryAfter retry-after time named to callers when there is no upstream
 * @property minRetryAfter shortest retry-after time named to callers in a refusal
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
