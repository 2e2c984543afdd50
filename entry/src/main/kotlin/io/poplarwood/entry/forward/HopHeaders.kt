package io.poplarwood.entry.forward

import io.poplarwood.api.http.Headers as Own

/** Headers that concern one connection only (RFC 9110, 7.6.1) or one hop of the system. */
internal object HopHeaders {
    private val hop =
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
    private val replaced =
        setOf(
            "host",
            "content-length",
            "expect",
            EXCHANGE.lowercase(),
            Own.SERVICE.lowercase(),
            Own.CLASS.lowercase(),
            Own.DEADLINE_MS.lowercase(),
            Own.DEPTH.lowercase(),
            Own.RETRY.lowercase(),
            Own.RANK.lowercase(),
            Own.REQUEST_ID.lowercase(),
        )

    /** Set anew on answers, or allowed on the system's own answers only. */
    private val answerOnly =
        setOf(
            "content-length",
            Own.OUTCOME.lowercase(),
            Own.REASON.lowercase(),
            Own.RETRY_AFTER_MS.lowercase(),
            Own.NOT_RUN.lowercase(),
            Own.REQUEST_ID.lowercase(),
        )

    /** Names that a `Connection` header with these [values] makes hop-by-hop. */
    fun named(values: List<String>?): Set<String> {
        if (values.isNullOrEmpty()) return emptySet()
        return values.flatMap { it.split(',') }.mapTo(HashSet()) { it.trim().lowercase() }
    }

    /** True when a request header goes on to the upstream. */
    fun passesToUpstream(name: String, named: Set<String>): Boolean {
        val lower = name.lowercase()
        return lower !in hop && lower !in replaced && lower !in named
    }

    /** True when an answer header goes on to the caller. */
    fun passesToCaller(name: String, named: Set<String>): Boolean {
        val lower = name.lowercase()
        return lower !in hop && lower !in answerOnly && lower !in named
    }

    /** Internal header that ties an engine's request to the state kept beside it; never sent. */
    const val EXCHANGE: String = "Poplarwood-Exchange"
}
