package io.poplarwood.api.work

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Priority of a class of work, in declaration order; the first value has the highest priority. */
@Serializable
enum class Rank {
    @SerialName("urgent")
    URGENT,

    @SerialName("standard")
    STANDARD,

    @SerialName("background")
    BACKGROUND,
}
