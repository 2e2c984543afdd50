package io.poplarwood.entry.operator

import kotlinx.serialization.Serializable

/** Decisions that one entry made about a request. */
@Serializable
data class ExplainReport(
    val requestId: String,
    val entry: String,
    val service: String,
    val workClass: String,
    val outcome: String,
    val steps: List<ExplainStep>,
)
