package io.poplarwood.fleet.membership

import kotlin.time.Duration

/** A row of the member table with the local state that this entry keeps for it. */
internal class Member(var row: MemberRow) {
    var suspectedAt: Duration? = null
    var goneAt: Duration? = null

    /** True when the run itself announced that it has ended. */
    var ended = false

    /** Number of digests that have carried the row since it last changed. */
    var timesSent = 0

    /** Time of the last result of a periodic ping, and whether the ping was answered. */
    var probedAt: Duration? = null
    var probeAnswered = false

    /** Sequence up to which the member has reported every change as in force; -1 before its first report. */
    var applied = -1L
}
