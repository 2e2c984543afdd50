package io.poplarwood.entry.operator

import kotlinx.serialization.Serializable

/** One decision about a request, [afterMs] milliseconds after the request arrived. */
@Serializable
data class ExplainStep(
    val afterMs: Double,
    val decision: String,
    val upstream: String? = null,
    val reason: String? = null,
)
