package io.poplarwood.fleet.membership

import kotlin.time.Duration

/** A row of the member table with what this entry keeps about it. */
internal class Member(var row: MemberRow) {
    var suspectedAt: Duration? = null
    var goneAt: Duration? = null

    /** True when the run said itself that it has ended. */
    var ended = false

    /** Times that the row was sent since it changed. */
    var timesSent = 0

    /** When the last ping in turn was decided, and whether it was answered. */
    var probedAt: Duration? = null
    var probeAnswered = false

    /** Sequence that the member last reported to have in force. */
    var applied = -1L
}
