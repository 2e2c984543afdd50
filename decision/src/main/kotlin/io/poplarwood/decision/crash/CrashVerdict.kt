package io.poplarwood.decision.crash

import kotlin.time.Duration

/** How a request may run, given the upstreams that were lost while its like was running. */
sealed interface CrashVerdict {
    /** Nothing is held against it. */
    data object Allow : CrashVerdict

    /** It may run now; [alone] when the upstream must run nothing else. One such run at a time. */
    data class Trial(val alone: Boolean) : CrashVerdict

    /** Not before [until], when news of other losses must have arrived, or while another trial runs. */
    data class Wait(val until: Duration) : CrashVerdict

    /** Not at all until [until]. */
    data class Refuse(val until: Duration) : CrashVerdict
}
