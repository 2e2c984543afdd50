package io.poplarwood.api.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Kind of process that runs on a VM. */
@Serializable
enum class VmRole {
    @SerialName("entry")
    ENTRY,

    @SerialName("upstream")
    UPSTREAM,
}
