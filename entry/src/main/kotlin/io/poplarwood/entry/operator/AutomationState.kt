package io.poplarwood.entry.operator

import kotlinx.serialization.Serializable

/** Whether ejection and moves of capacity are paused, as of configuration number [sequence]. */
@Serializable
data class AutomationState(val paused: Boolean, val sequence: Long)
