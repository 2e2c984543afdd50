package io.poplarwood.entry.forward

import io.poplarwood.api.http.Headers as PoplarwoodHeaders

/** Headers that concern one connection only (RFC 9110, 7.6.1) or one hop of the system. */
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

    /** Set anew for each upstream, or settled between caller and entry. */
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

    /** Set anew on answers, or allowed on the system's own answers only. */
    private val replacedForCaller =
        setOf(
            "content-length",
            PoplarwoodHeaders.OUTCOME.lowercase(),
            PoplarwoodHeaders.REASON.lowercase(),
            PoplarwoodHeaders.RETRY_AFTER_MS.lowercase(),
            PoplarwoodHeaders.NOT_RUN.lowercase(),
            PoplarwoodHeaders.REQUEST_ID.lowercase(),
        )

    /** Names that a `Connection` header with these [values] makes hop-by-hop. */
    fun connectionOptions(values: List<String>?): Set<String> {
        if (values.isNullOrEmpty()) return emptySet()
        return values.flatMap { it.split(',') }.mapTo(HashSet()) { it.trim().lowercase() }
    }

    /** True when a request header goes on to the upstream. */
    fun passesToUpstream(name: String, connectionOptions: Set<String>): Boolean {
        val lower = name.lowercase()
        return lower !in hopByHop && lower !in replacedForUpstream && lower !in connectionOptions
    }

    /** True when an answer header goes on to the caller. */
    fun passesToCaller(name: String, connectionOptions: Set<String>): Boolean {
        val lower = name.lowercase()
        return lower !in hopByHop && lower !in replacedForCaller && lower !in connectionOptions
    }

    /** Internal header that ties an engine's request to the state kept beside it; never sent. */
    const val EXCHANGE_HEADER: String = "Poplarwood-Exchange"
}
