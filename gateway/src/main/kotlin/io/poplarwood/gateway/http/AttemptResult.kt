package io.poplarwood.gateway.http

import io.netty.handler.codec.http.HttpHeaders
import io.poplarwood.gateway.upstream.LoadReport
import io.poplarwood.gateway.upstream.UpstreamNotice

/** What one attempt at an upstream brought. */
internal sealed interface AttemptResult {
    /** The upstream's own whole answer. */
    class Answered(
        val status: Int,
        val headers: HttpHeaders,
        val body: ByteArray,
        val load: LoadReport?,
        val notice: UpstreamNotice,
    ) : AttemptResult

    /** The upstream says that it did not run the request. */
    class NotExecuted(
        val cause: NotExecutedCause,
        val load: LoadReport?,
        val notice: UpstreamNotice,
    ) : AttemptResult

    /** No connection; nothing was sent. */
    data object NotSent : AttemptResult

    /** The request may have run and its answer will not come, because of [cause]. */
    class Lost(val cause: LossCause) : AttemptResult
}

/** Why an upstream did not run a request. */
internal enum class NotExecutedCause { SHED, OTHER_UPSTREAM }

/** Why an answer will not come. */
internal enum class LossCause {
    /** The connection was closed or reset before a byte of the answer. */
    CONNECTION_LOST,

    /** The connection ended within the answer. */
    CUT_SHORT,

    /** The bytes are not an answer, or not the upstream's own. */
    GARBLED,
}
