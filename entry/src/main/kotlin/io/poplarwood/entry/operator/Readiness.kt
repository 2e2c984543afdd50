package io.poplarwood.entry.operator

import kotlinx.serialization.Serializable

/** Whether an entry takes new work; [missing] says what it waits for. */
@Serializable
data class Readiness(val ready: Boolean, val missing: List<String> = emptyList())
