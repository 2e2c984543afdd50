package io.poplarwood.entry.http

import kotlinx.serialization.Serializable

/** JSON body of an answer that is not the upstream's own. */
@Serializable
internal data class RefusalBody(
    val outcome: String,
    val reason: String,
    val requestId: String,
    val retryAfterMs: Long? = null,
)
