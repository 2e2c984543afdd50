package io.poplarwood.gateway.upstream

import kotlin.time.Duration

/** What was learnt of whether an upstream may get work. */
internal sealed interface AvailabilityInput {
    /** Its registration was read: it [draining], or will be slow for [warmup] after its start. */
    data class Registered(val draining: Boolean, val warmup: Duration) : AvailabilityInput

    /** It answered a request, and the answer did not fail. */
    data object Answered : AvailabilityInput

    /** An attempt brought no answer. */
    data object Lost : AvailabilityInput

    /** It says in an answer, to this entry or another one, that it leaves. */
    data object SaysItLeaves : AvailabilityInput

    /** It turned a request away and wants nothing from this VM for [time]. */
    data class WantsNothingFor(val time: Duration) : AvailabilityInput

    /** Another upstream answered at its address. */
    data object AnotherAtItsAddress : AvailabilityInput
}
