package io.poplarwood.decision.crash

import kotlin.time.Duration

/** How a request may run, given the upstreams that were lost while they ran requests with its fingerprint. */
sealed interface CrashVerdict {
    /** No suspicion. */
    data object Allow : CrashVerdict

    /** The request may run now; [alone] when the upstream must run nothing else. There is one such run at a time. */
    data class Trial(val alone: Boolean) : CrashVerdict

    /** The request may not run before [until]: reports of other losses may still arrive, or another trial runs. */
    data class Wait(val until: Duration) : CrashVerdict

    /** The request is refused until [until]. */
    data class Refuse(val until: Duration) : CrashVerdict
}
