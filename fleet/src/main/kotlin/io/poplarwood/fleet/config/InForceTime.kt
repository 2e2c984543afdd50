package io.poplarwood.fleet.config

import kotlinx.serialization.Serializable

/** When the change of [sequence] was in force everywhere: [atMs] since the epoch, [tookMs] after acceptance. */
@Serializable
data class InForceTime(val sequence: Long, val atMs: Long, val tookMs: Long)
