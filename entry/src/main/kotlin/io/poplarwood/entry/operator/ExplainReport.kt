package io.poplarwood.entry.operator

import kotlinx.serialization.Serializable

/** Why one request was served as it was. */
@Serializable
data class ExplainReport(
    val requestId: String,
    val entry: String,
    val service: String,
    val workClass: String,
    val outcome: String,
    val steps: List<ExplainStep>,
)
