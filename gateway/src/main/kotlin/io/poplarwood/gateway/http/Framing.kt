package io.poplarwood.gateway.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException

/** Detects requests that two HTTP parsers could frame differently (RFC 9112, sections 6.3 and 11.2). */
internal object Framing {
    private const val BAD_REQUEST = 400
    private const val HEADER_FIELDS_TOO_LARGE = 431
    private const val URI_TOO_LONG = 414

    /** Error status for a request that could not be decoded because of [cause]. */
    fun statusForDecodeFailure(cause: Throwable): Int = when (cause) {
        is TooLongHttpHeaderException -> HEADER_FIELDS_TOO_LARGE
        is TooLongHttpLineException -> URI_TOO_LONG
        else -> BAD_REQUEST
    }

    /** Error status if the head of [request] is malformed or its framing is ambiguous; null otherwise. */
    fun statusForHead(request: HttpRequest): Int? {
        val headers = request.headers()
        val lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH)
        val encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)
        val malformed = headers.getAll(HttpHeaderNames.HOST).singleOrNull().isNullOrBlank() ||
            lengths.size > 1 ||
            lengths.any { value -> value.isEmpty() || value.any { it !in '0'..'9' } } ||
            (encodings.isNotEmpty() && encodings.singleOrNull()?.lowercase() != "chunked") ||
            (lengths.isNotEmpty() && encodings.isNotEmpty()) ||
            !request.uri().startsWith("/")
        return if (malformed) BAD_REQUEST else null
    }
}
