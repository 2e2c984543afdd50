package io.poplarwood.entry.http

import kotlinx.serialization.Serializable

/** JSON body of a response that this system sends in place of an upstream's. */
@Serializable
internal data class RefusalBody(
    val outcome: String,
    val reason: String,
    val requestId: String,
    val retryAfterMs: Long? = null,
)
