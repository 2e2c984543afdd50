package io.poplarwood.gateway.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException

/** Finds requests that two parsers could read differently (RFC 9112, 6.3 and 11.2). */
internal object Framing {
    private const val MALFORMED = 400
    private const val HEADERS_TOO_LARGE = 431
    private const val LINE_TOO_LONG = 414

    /** Status of the refusal for a request that the decoder could not read because of [cause]. */
    fun statusOf(cause: Throwable): Int = when (cause) {
        is TooLongHttpHeaderException -> HEADERS_TOO_LARGE
        is TooLongHttpLineException -> LINE_TOO_LONG
        else -> MALFORMED
    }

    /** Status of the refusal when the head of [request] is ambiguous, or null. */
    fun faultOf(request: HttpRequest): Int? {
        val headers = request.headers()
        val lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH)
        val encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)
        val malformed = headers.getAll(HttpHeaderNames.HOST).singleOrNull().isNullOrBlank() ||
            lengths.size > 1 ||
            lengths.any { value -> value.isEmpty() || value.any { it !in '0'..'9' } } ||
            (encodings.isNotEmpty() && encodings.singleOrNull()?.lowercase() != "chunked") ||
            (lengths.isNotEmpty() && encodings.isNotEmpty()) ||
            !request.uri().startsWith("/")
        return if (malformed) MALFORMED else null
    }
}
