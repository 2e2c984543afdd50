package io.poplarwood.entry.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.poplarwood.api.outcome.Refusal
import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.entry.settings.HttpSettings

/** Finds requests that two parsers could read differently (RFC 9112, 6.3 and 11.2). */
internal object Framing {
    /** Why [msg] is refused, or null. */
    fun faultOf(msg: HttpObject, settings: HttpSettings): Refusal? {
        val decoded = msg.decoderResult()
        if (decoded.isFailure) return Refusal(reasonOf(decoded.cause()))
        return if (msg is HttpRequest) headFault(msg, settings) else null
    }

    /** Turns a target in absolute form into origin form; its authority replaces `Host` (RFC 9112, 3.2.2). */
    fun useOriginForm(request: HttpRequest) {
        val target = request.uri()
        if (!target.startsWith(ABSOLUTE, ignoreCase = true)) return
        val rest = target.substring(ABSOLUTE.length)
        val end = rest.indexOfAny(charArrayOf('/', '?')).let { if (it < 0) rest.length else it }
        val path = rest.substring(end)
        request.headers().set(HttpHeaderNames.HOST, rest.substring(0, end))
        request.uri = if (path.startsWith("/")) path else "/$path"
    }

    private fun hasKnownForm(target: String) =
        target.startsWith("/") || target == "*" || target.startsWith(ABSOLUTE, ignoreCase = true)

    private const val ABSOLUTE = "http://"

    private fun reasonOf(cause: Throwable): RefusalReason =
        when (cause) {
            is TooLongHttpHeaderException, is TooLongHttpLineException -> RefusalReason.HEADERS_TOO_LARGE
            else -> RefusalReason.MALFORMED
        }

    private fun headFault(request: HttpRequest, settings: HttpSettings): Refusal? {
        val headers = request.headers()
        if (headers.size() > settings.maxHeaderCount) return Refusal(RefusalReason.HEADERS_TOO_LARGE)
        val lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH)
        val encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)
        val malformed =
            headers.getAll(HttpHeaderNames.HOST).singleOrNull().isNullOrBlank() ||
                lengths.size > 1 ||
                lengths.any { value -> value.isEmpty() || value.any { it !in '0'..'9' } } ||
                (encodings.isNotEmpty() && encodings.singleOrNull()?.lowercase() != "chunked") ||
                (lengths.isNotEmpty() && encodings.isNotEmpty()) ||
                !hasKnownForm(request.uri())
        return if (malformed) Refusal(RefusalReason.MALFORMED) else null
    }
}
