package io.poplarwood.decision.dispatch

import io.poplarwood.api.id.ClassName
import io.poplarwood.api.id.RequestId
import kotlin.time.Duration

/**
 * One call as admission sees it.
 *
 * @property arrived reading of the ticker at arrival
 * @property deadline reading of the ticker at which the answer must be complete
 * @property replayable whether its body is at hand for a further attempt
 * @property mayRetry whether this entry is the level that retries
 * @property fingerprint identifies requests that do the same to an upstream; 0 when unknown
 */
data class Call(
    val id: CallId,
    val request: RequestId,
    val workClass: ClassName,
    val idempotent: Boolean,
    val arrived: Duration,
    val deadline: Duration,
    val replayable: Boolean = true,
    val mayRetry: Boolean = true,
    val fingerprint: Long = 0,
)
