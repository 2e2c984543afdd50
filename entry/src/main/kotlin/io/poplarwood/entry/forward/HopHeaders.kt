package io.poplarwood.entry.forward

import io.poplarwood.api.http.Headers as PoplarwoodHeaders

/** Headers that apply to one connection only (RFC 9110, 7.6.1) or to one hop of this system. */
internal object HopHeaders {
    private val hopByHop =
        setOf(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
        )

    /** Request headers that the entry sets itself for each upstream, or that concern only caller and entry. */
    private val replacedForUpstream =
        setOf(
            "host",
            "content-length",
            "expect",
            EXCHANGE_HEADER.lowercase(),
            PoplarwoodHeaders.SERVICE.lowercase(),
            PoplarwoodHeaders.CLASS.lowercase(),
            PoplarwoodHeaders.DEADLINE_MS.lowercase(),
            PoplarwoodHeaders.DEPTH.lowercase(),
            PoplarwoodHeaders.RETRY.lowercase(),
            PoplarwoodHeaders.RANK.lowercase(),
            PoplarwoodHeaders.REQUEST_ID.lowercase(),
        )

    /** Response headers that the entry sets itself, or that only responses of this system may carry. */
    private val replacedForCaller =
        setOf(
            "content-length",
            PoplarwoodHeaders.OUTCOME.lowercase(),
            PoplarwoodHeaders.REASON.lowercase(),
            PoplarwoodHeaders.RETRY_AFTER_MS.lowercase(),
            PoplarwoodHeaders.NOT_RUN.lowercase(),
            PoplarwoodHeaders.REQUEST_ID.lowercase(),
        )

    /** Lower-case header names that `Connection` headers with these [values] declare hop-by-hop. */
    fun connectionOptions(values: List<String>?): Set<String> {
        if (values.isNullOrEmpty()) return emptySet()
        return values.flatMap { it.split(',') }.mapTo(HashSet()) { it.trim().lowercase() }
    }

    /** True when the request header [name] is passed to the upstream. */
    fun passesToUpstream(name: String, connectionOptions: Set<String>): Boolean {
        val lower = name.lowercase()
        return lower !in hopByHop && lower !in replacedForUpstream && lower !in connectionOptions
    }

    /** True when the response header [name] is passed to the caller. */
    fun passesToCaller(name: String, connectionOptions: Set<String>): Boolean {
        val lower = name.lowercase()
        return lower !in hopByHop && lower !in replacedForCaller && lower !in connectionOptions
    }

    /** Internal header that links a request inside an HTTP engine to its exchange; never sent. */
    const val EXCHANGE_HEADER: String = "Poplarwood-Exchange"
}
