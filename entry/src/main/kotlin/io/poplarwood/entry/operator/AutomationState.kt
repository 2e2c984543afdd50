package io.poplarwood.entry.operator

import kotlinx.serialization.Serializable

/** Whether ejection and moves of capacity are paused, and the configuration sequence that says so. */
@Serializable
data class AutomationState(val paused: Boolean, val sequence: Long)
