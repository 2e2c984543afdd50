package io.poplarwood.gateway.http

import io.netty.handler.codec.http.HttpHeaders
import io.poplarwood.gateway.upstream.LoadReport
import io.poplarwood.gateway.upstream.UpstreamNotice

/** The result of one attempt at an upstream. */
internal sealed interface AttemptResult {
    /** A complete response that the upstream itself generated. */
    class Answered(
        val status: Int,
        val headers: HttpHeaders,
        val body: ByteArray,
        val load: LoadReport?,
        val notice: UpstreamNotice,
    ) : AttemptResult

    /**
     * The upstream replied that it did not run the request.
     *
     * @property named whether the reply names the request
     */
    class NotExecuted(
        val cause: NotExecutedCause,
        val load: LoadReport?,
        val notice: UpstreamNotice,
        val named: Boolean,
    ) : AttemptResult

    /** No connection could be opened, so nothing was sent. */
    data object NotSent : AttemptResult

    /** Nothing was sent, because the request could not be sent any more when its connection was open. */
    data object Withheld : AttemptResult

    /** The request may have run, but no usable response will be received because of [cause]. */
    class Lost(val cause: LossCause) : AttemptResult
}

/** Why an upstream did not run a request. */
internal enum class NotExecutedCause { SHED, OTHER_UPSTREAM }

/** Why no usable response will be received. */
internal enum class LossCause {
    /** The connection was closed or reset before the head of the response was received. */
    CONNECTION_LOST,

    /** The connection was closed or reset within the response. */
    CUT_SHORT,

    /** The bytes are no valid response, not one that the upstream itself generated, or more than may be buffered. */
    GARBLED,

    /** This entry had no memory left for the response; the upstream did nothing wrong. */
    NO_MEMORY,
}
