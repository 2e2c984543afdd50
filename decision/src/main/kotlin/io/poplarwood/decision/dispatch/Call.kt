package io.poplarwood.decision.dispatch

import io.poplarwood.api.id.ClassName
import io.poplarwood.api.id.RequestId
import kotlin.time.Duration

/**
 * One call as admission sees it.
 *
 * @property arrived reading of the ticker at arrival
 * @property deadline reading of the ticker at which the response must be complete
 * @property replayable whether the request body is available for a further attempt
 * @property mayRetry whether this entry is the level of the call chain that retries
 * @property fingerprint identifies requests that have the same effect on an upstream; 0 when unknown
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
