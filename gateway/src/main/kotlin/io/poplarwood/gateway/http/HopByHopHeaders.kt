package io.poplarwood.gateway.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/** Hop-by-hop headers, which must not be forwarded (RFC 9110, section 7.6.1). */
internal object HopByHopHeaders {
    private val names =
        listOf("connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade")

    /** Removes the hop-by-hop headers from [headers], including those that a `Connection` header names. */
    fun strip(headers: HttpHeaders) {
        for (value in headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (name in value.split(',')) {
                val trimmed = name.trim()
                if (trimmed.isNotEmpty()) headers.remove(trimmed)
            }
        }
        names.forEach(headers::remove)
    }
}
