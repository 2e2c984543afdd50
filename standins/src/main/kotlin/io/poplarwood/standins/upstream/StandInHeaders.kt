package io.poplarwood.standins.upstream

/** Request headers with which a test or a load generator controls a stand-in upstream. */
object StandInHeaders {
    /** Service time of the request, in milliseconds. */
    const val WORK_MS: String = "Stand-In-Work-Ms"

    /** Text that the upstream returns in [RunResponse.token]. */
    const val TOKEN: String = "Stand-In-Token"

    /** Length of the response body in bytes; the body is then a [Pattern] for the token instead of a [RunResponse]. */
    const val ANSWER_BYTES: String = "Stand-In-Answer-Bytes"

    /** Number of bytes of the response body after which the connection is reset. */
    const val CUT_ANSWER_AT: String = "Stand-In-Cut-Answer-At"

    /** Status code of the response in place of 200. */
    const val STATUS: String = "Stand-In-Status"

    /** Crashes the upstream that runs the request, this many milliseconds after the run started. */
    const val CRASH: String = "Stand-In-Crash"
}
