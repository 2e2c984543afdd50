package io.poplarwood.entry.forward

import org.apache.hc.client5.http.async.AsyncExecCallback
import org.apache.hc.client5.http.async.AsyncExecChain
import org.apache.hc.client5.http.async.AsyncExecChainHandler
import org.apache.hc.core5.http.HttpHeaders
import org.apache.hc.core5.http.HttpRequest
import org.apache.hc.core5.http.nio.AsyncEntityProducer
import java.util.concurrent.ConcurrentHashMap

/**
 * Last step before the engine gives a request to its connection: marks the exchange as handed over, so that every
 * failure before it is known not to have run, and restores what the engine changed.
 */
internal class ExchangeInterceptor : AsyncExecChainHandler {
    private val exchanges = ConcurrentHashMap<String, Exchange>()

    /** Ties [exchange] to the request whose internal header carries [key]. */
    fun register(key: String, exchange: Exchange) {
        exchanges[key] = exchange
    }

    /** Forgets the exchange of [key]. */
    fun forget(key: String) {
        exchanges.remove(key)
    }

    override fun execute(
        request: HttpRequest,
        entityProducer: AsyncEntityProducer?,
        scope: AsyncExecChain.Scope,
        chain: AsyncExecChain,
        asyncExecCallback: AsyncExecCallback,
    ) {
        val key = request.getFirstHeader(HopHeaders.EXCHANGE)?.value
        request.removeHeaders(HopHeaders.EXCHANGE)
        val exchange = key?.let { exchanges[it] }
        if (exchange != null) restore(request, exchange)
        // The engine would send an absent body of a POST as an empty one in chunks.
        val body = entityProducer.takeUnless { exchange?.outbound?.body is RequestBody.None }
        chain.proceed(request, body, scope, asyncExecCallback)
    }

    private fun restore(request: HttpRequest, exchange: Exchange) {
        val outbound = exchange.outbound
        request.path = outbound.target
        request.setHeader(HttpHeaders.HOST, outbound.host)
        if (outbound.headers.none { it.first.equals(HttpHeaders.USER_AGENT, ignoreCase = true) }) {
            request.removeHeaders(HttpHeaders.USER_AGENT)
        }
        if (outbound.headers.none { it.first.equals(HttpHeaders.ACCEPT, ignoreCase = true) }) {
            request.removeHeaders(HttpHeaders.ACCEPT)
        }
        exchange.handOver()
    }
}
