package io.poplarwood.api.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What runs on a VM. */
@Serializable
enum class VmRole {
    @SerialName("entry")
    ENTRY,

    @SerialName("upstream")
    UPSTREAM,
}
