package io.poplarwood.api.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of a VM as listed by the platform. */
@Serializable
enum class VmState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}
