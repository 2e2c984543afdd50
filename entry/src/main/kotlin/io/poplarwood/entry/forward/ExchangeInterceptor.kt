package io.poplarwood.entry.forward

import org.apache.hc.client5.http.async.AsyncExecCallback
import org.apache.hc.client5.http.async.AsyncExecChain
import org.apache.hc.client5.http.async.AsyncExecChainHandler
import org.apache.hc.core5.http.HttpHeaders
import org.apache.hc.core5.http.HttpRequest
import org.apache.hc.core5.http.nio.AsyncEntityProducer
import org.apache.hc.core5.http.nio.entity.BasicAsyncEntityProducer
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
    fun unregister(key: String) {
        exchanges.remove(key)
    }

    override fun execute(
        request: HttpRequest,
        entityProducer: AsyncEntityProducer?,
        scope: AsyncExecChain.Scope,
        chain: AsyncExecChain,
        asyncExecCallback: AsyncExecCallback,
    ) {
        val key = request.getFirstHeader(HopHeaders.EXCHANGE_HEADER)?.value
        val exchange = key?.let { exchanges[it] }
        if (exchange != null) applyOutbound(request, exchange)
        val body = if (exchange == null) entityProducer else producerFor(exchange)
        chain.proceed(request, body, scope, asyncExecCallback)
    }

    /** The engine's own producer fails large uploads and sends an absent body of a POST as an empty one in chunks. */
    private fun producerFor(exchange: Exchange): AsyncEntityProducer? =
        when (val body = exchange.outbound.body) {
            is RequestBody.None -> null
            is RequestBody.Buffered -> BasicAsyncEntityProducer(body.bytes, null)
            is RequestBody.Streaming -> exchange.upload
        }

    private fun applyOutbound(request: HttpRequest, exchange: Exchange) {
        val outbound = exchange.outbound
        request.path = outbound.target
        // The client's own request carries none of the caller's headers: it would copy each of them five times.
        request.setHeaders()
        request.addHeader(HttpHeaders.HOST, outbound.host)
        for ((name, value) in outbound.headers) request.addHeader(name, value)
        exchange.markHandedToConnection()
    }
}
