package io.poplarwood.standins.upstream

/** Request headers by which a test or a load generator steers a stand-in upstream. */
object StandInHeaders {
    /** Service time of this request in milliseconds. */
    const val WORK_MS: String = "Stand-In-Work-Ms"

    /** Text that comes back in [RunAnswer.token]. */
    const val TOKEN: String = "Stand-In-Token"

    /** Length of the answer's body; the body is then a pattern made from the token and not a [RunAnswer]. */
    const val ANSWER_BYTES: String = "Stand-In-Answer-Bytes"

    /** Closes the connection after this many bytes of the answer's body. */
    const val CUT_ANSWER_AT: String = "Stand-In-Cut-Answer-At"

    /** Status of the answer in place of 200. */
    const val STATUS: String = "Stand-In-Status"

    /** Crashes the upstream that runs the request; the value is the time into the run in milliseconds. */
    const val CRASH: String = "Stand-In-Crash"
}
