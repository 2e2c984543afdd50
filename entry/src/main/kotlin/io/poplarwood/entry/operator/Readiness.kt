package io.poplarwood.entry.operator

import kotlinx.serialization.Serializable

/** Whether an entry accepts new work; if not, [missing] holds the reasons. */
@Serializable
data class Readiness(val ready: Boolean, val missing: List<String> = emptyList())
