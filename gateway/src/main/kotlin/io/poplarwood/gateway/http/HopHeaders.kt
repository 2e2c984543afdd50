package io.poplarwood.gateway.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/** Headers that concern one connection only (RFC 9110, 7.6.1). */
internal object HopHeaders {
    private val names =
        listOf("connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade")

    /** Removes them from [headers], with those that a `Connection` header names. */
    fun strip(headers: HttpHeaders) {
        for (value in headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (name in value.split(',')) {
                val plain = name.trim()
                if (plain.isNotEmpty()) headers.remove(plain)
            }
        }
        names.forEach(headers::remove)
    }
}
