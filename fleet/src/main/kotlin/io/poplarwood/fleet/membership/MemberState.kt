package io.poplarwood.fleet.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
enum class MemberState {
    /** Answers pings. */
    @SerialName("live")
    LIVE,

    /** Announced its shutdown; still answers until its requests in flight have completed. */
    @SerialName("leaving")
    LEAVING,

    /** Answered neither direct nor indirect pings. */
    @SerialName("suspect")
    SUSPECT,

    /** Suspect beyond the timeout, or ended. Final for this incarnation. */
    @SerialName("gone")
    GONE,
}
