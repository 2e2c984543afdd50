package io.poplarwood.api.http

/** Names of the HTTP headers that the system defines; docs/callers.md describes them. */
object Headers {
    /** Service that a request is for; else the first label of `Host`. */
    const val SERVICE: String = "Poplarwood-Service"

    /** Class of the request; else the service's match rules decide. */
    const val CLASS: String = "Poplarwood-Class"

    /** Remaining time of a request, in milliseconds. */
    const val DEADLINE_MS: String = "Poplarwood-Deadline-Ms"

    /** Level of a call within a chain of calls, 0 for the first. */
    const val DEPTH: String = "Poplarwood-Depth"

    /** `no` where an outer entry does the retrying. */
    const val RETRY: String = "Poplarwood-Retry"

    /** Rank that the outermost entry gave to the request. */
    const val RANK: String = "Poplarwood-Rank"

    /** Identifier for `explain`. */
    const val REQUEST_ID: String = "Poplarwood-Request-Id"

    /** Kind of an answer that is not the upstream's own. */
    const val OUTCOME: String = "Poplarwood-Outcome"

    /** Reason of an answer that is not the upstream's own. */
    const val REASON: String = "Poplarwood-Reason"

    /** Time after which to ask again, in milliseconds. */
    const val RETRY_AFTER_MS: String = "Poplarwood-Retry-After-Ms"

    /** Key that makes a resend of a non-idempotent request safe. */
    const val IDEMPOTENCY_KEY: String = "Idempotency-Key"

    /** An upstream's statement that it did not start the request: `busy` or `draining`. */
    const val NOT_RUN: String = "Poplarwood-Not-Run"

    /** An upstream's load on an answer: requests in flight, a slash, slots. */
    const val LOAD: String = "Poplarwood-Load"
}
