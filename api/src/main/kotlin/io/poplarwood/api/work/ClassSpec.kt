package io.poplarwood.api.work

import io.poplarwood.api.id.ClassName
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * One class of work of a service.
 *
 * @property idempotent whether a request may run more than once; null derives this from the HTTP method
 *   (RFC 9110, 9.2.2)
 * @property deadlineMs default deadline of a request that states none, in milliseconds after arrival
 * @property maxBodyBytes largest accepted request body, in bytes
 * @property maxSlotShare fraction of the service's slots, 0..1, that the class may hold at the same time; bounds long
 *   uploads
 */
@Serializable
data class ClassSpec(
    val name: ClassName,
    val rank: Rank,
    val target: Target,
    val match: List<MatchRule> = emptyList(),
    val idempotent: Boolean? = null,
    val deadlineMs: Long = 30_000,
    val maxBodyBytes: Long = 1L shl 30,
    val maxSlotShare: Double = 1.0,
) {
    /** [deadlineMs] as a duration. */
    val deadline: Duration get() = deadlineMs.milliseconds
}
