package io.poplarwood.decision.crash

import io.poplarwood.api.id.UpstreamId
import kotlinx.serialization.Serializable

/** One suspicion as entries tell it to each other; [ageMs] is the time since it was learnt, in milliseconds. */
@Serializable
data class CrashNews(val fingerprint: Long, val upstream: UpstreamId, val ageMs: Long = 0)
