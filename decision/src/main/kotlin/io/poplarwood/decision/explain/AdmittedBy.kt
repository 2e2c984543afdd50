package io.poplarwood.decision.explain

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Why a waiting call got a slot before the others. */
@Serializable
enum class AdmittedBy {
    /** No call of a higher rank could use the slot. */
    @SerialName("rank")
    RANK,

    /** The call's class was below its guaranteed share (`keepShare`). */
    @SerialName("kept-share")
    KEPT_SHARE,
}
