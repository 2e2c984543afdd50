package io.poplarwood.standins.platform

import kotlinx.serialization.Serializable

/** Operations that the stand-in platform received since its start, throttled operations included. */
@Serializable
data class PlatformCounts(val reads: Long, val writes: Long, val lists: Long, val throttled: Long)
