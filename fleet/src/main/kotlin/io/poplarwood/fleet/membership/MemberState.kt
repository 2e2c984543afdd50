package io.poplarwood.fleet.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of a member. */
@Serializable
enum class MemberState {
    /** Answers. */
    @SerialName("live")
    LIVE,

    /** Announced its stop; answers until it has ended its work. */
    @SerialName("leaving")
    LEAVING,

    /** Did not answer, neither directly nor through others. */
    @SerialName("suspect")
    SUSPECT,

    /** Suspect for too long, or ended. Final for this incarnation. */
    @SerialName("gone")
    GONE,
}
