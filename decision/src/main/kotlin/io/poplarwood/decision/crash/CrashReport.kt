package io.poplarwood.decision.crash

import io.poplarwood.api.id.UpstreamId
import kotlinx.serialization.Serializable

/**
 * One suspicion as entries send it to each other; [ageMs] is the time in milliseconds since the sender learned of the
 * loss.
 */
@Serializable
data class CrashReport(val fingerprint: Long, val upstream: UpstreamId, val ageMs: Long = 0)
