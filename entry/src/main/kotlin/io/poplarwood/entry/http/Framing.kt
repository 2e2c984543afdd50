package io.poplarwood.entry.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.poplarwood.api.outcome.Refusal
import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.entry.settings.HttpSettings

/** Detects requests that two parsers could read differently: request smuggling (RFC 9112, 6.3 and 11.2). */
internal object Framing {
    /** Why [msg] is refused; null when its framing is valid. */
    fun refusalFor(msg: HttpObject, settings: HttpSettings): Refusal? {
        val decoderResult = msg.decoderResult()
        if (decoderResult.isFailure) return Refusal(reasonOf(decoderResult.cause()))
        return if (msg is HttpRequest) headRefusal(msg, settings) else null
    }

    /** Converts a target in absolute form to origin form; its authority replaces `Host` (RFC 9112, 3.2.2). */
    fun useOriginForm(request: HttpRequest) {
        val target = request.uri()
        if (!target.startsWith(HTTP_SCHEME, ignoreCase = true)) return
        val afterScheme = target.substring(HTTP_SCHEME.length)
        val authorityEnd = afterScheme.indexOfAny(charArrayOf('/', '?')).let { if (it < 0) afterScheme.length else it }
        val path = afterScheme.substring(authorityEnd)
        request.headers().set(HttpHeaderNames.HOST, afterScheme.substring(0, authorityEnd))
        request.uri = if (path.startsWith("/")) path else "/$path"
    }

    private fun isSupportedTarget(target: String) =
        target.startsWith("/") || target == "*" || target.startsWith(HTTP_SCHEME, ignoreCase = true)

    private const val HTTP_SCHEME = "http://"

    private fun reasonOf(cause: Throwable): RefusalReason =
        when (cause) {
            is TooLongHttpHeaderException, is TooLongHttpLineException -> RefusalReason.HEADERS_TOO_LARGE
            else -> RefusalReason.MALFORMED
        }

    private fun headRefusal(request: HttpRequest, settings: HttpSettings): Refusal? {
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
                !isSupportedTarget(request.uri())
        return if (malformed) Refusal(RefusalReason.MALFORMED) else null
    }
}
