package io.poplarwood.standins.upstream

import kotlinx.serialization.Serializable

/** Body of `GET /load`. */
@Serializable
data class LoadReport(val inFlight: Int, val slots: Int)
