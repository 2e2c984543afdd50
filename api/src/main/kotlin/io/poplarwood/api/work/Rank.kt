package io.poplarwood.api.work

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Order in which classes are served; the first is served first. */
@Serializable
enum class Rank {
    @SerialName("urgent")
    URGENT,

    @SerialName("standard")
    STANDARD,

    @SerialName("background")
    BACKGROUND,
}
