package io.poplarwood.gateway.http

import io.netty.handler.codec.http.HttpResponse

private const val VERSION_PREFIX = "HTTP/"
private val STATUS_LINE = Regex("""HTTP/\d\.\d \d{3}""")

/**
 * Whether a status line stands within the head, behind its own: the head is the beginning of one response, cut within a
 * line, and that of the next one. Its status belongs to the first, its fields mostly to the second.
 */
internal val HttpResponse.holdsStatusLine: Boolean
    get() = holdsStatusLine(status().reasonPhrase()) || headers().any { holdsStatusLine(it.value) }

private fun holdsStatusLine(text: String) = VERSION_PREFIX in text && STATUS_LINE.containsMatchIn(text)
