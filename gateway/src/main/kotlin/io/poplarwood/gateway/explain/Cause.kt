package io.poplarwood.gateway.explain

import io.poplarwood.gateway.runtime.Outcome

/** The usual cause of each outcome, and where in the log to look next. */
internal object Cause {
    private val causeByOutcome = mapOf(
        Outcome.ANSWERED to "An upstream answered; the trail tells which attempt took the time.",
        Outcome.NO_ROUTE to "The desired state of that version has no route for its host and path.",
        Outcome.UNREADABLE_ROUTE to
            "The entry cannot read the route: its code is older than the operator's format. PW-6113 names it.",
        Outcome.NO_STATE to
            "The entry knew no desired state yet: it had just started, or reached neither store nor peer.",
        Outcome.BEHIND to
            "The entry knew of a newer desired state than its own, or could not tell whether there is one.",
        Outcome.STOPPING to "The entry was about to end its planned stop; another would have taken the request.",
        Outcome.NO_UPSTREAM to
            "Every upstream of the service had left, rested after failures, or had the request already.",
        Outcome.RATE_LIMITED to
            "Every usable upstream of the service names a rate limit that all entries together had used up.",
        Outcome.FULL to
            "The service had more work than it carries: the wait for a slot was, or would have been, too long.",
        Outcome.SHED to "Each upstream that it was sent to said that it did not run it, and no other was allowed.",
        Outcome.HELPER_REFUSED to
            "The entry was cut off from the upstreams, and the entries that it asked refused to run the request.",
        Outcome.NOT_SENT to "No upstream that was chosen accepted a connection.",
        Outcome.CRASHES to "Three upstreams were lost while they ran this request; it is not sent to a fourth.",
        Outcome.EXPIRED to "Its time ended while it waited for a slot.",
        Outcome.LOST to "An upstream had it and the connection ended without a whole answer; it may have run.",
        Outcome.NO_MEMORY to
            "An upstream answered, but the entry's memory for answers was full (PW-6210); the request may have run.",
        Outcome.TIMED_OUT to "An upstream had it and did not answer in time; it may have run.",
        Outcome.FAILED to "The entry failed; PW-6007 near it has the error.",
        Outcome.CALLER_LEFT to "The caller ended its connection first.",
    )

    /** A sentence on requests whose outcome has the given [label]. */
    fun of(label: String): String =
        causeByOutcome.entries.firstOrNull { it.key.label == label }?.value ?: "Unknown end \"$label\"."
}
