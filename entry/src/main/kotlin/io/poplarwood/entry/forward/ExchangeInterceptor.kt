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
 * Interceptor that runs immediately before the client engine passes a request to its connection.
 *
 * Marks the exchange as handed to the connection, so that a request that failed earlier is known not to have run, and
 * restores the target, headers and body that the engine changed.
 */
internal class ExchangeInterceptor : AsyncExecChainHandler {
    private val exchanges = ConcurrentHashMap<String, Exchange>()

    /** Associates [exchange] with the request whose header [HopHeaders.EXCHANGE_HEADER] is [key]. */
    fun register(key: String, exchange: Exchange) {
        exchanges[key] = exchange
    }

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

    /** Replaces the engine's producer, which fails large uploads and sends an absent POST body as empty chunks. */
    private fun producerFor(exchange: Exchange): AsyncEntityProducer? =
        when (val body = exchange.outbound.body) {
            is RequestBody.None -> null
            is RequestBody.Buffered -> BasicAsyncEntityProducer(body.bytes, null)
            is RequestBody.Streaming -> exchange.upload
        }

    private fun applyOutbound(request: HttpRequest, exchange: Exchange) {
        val outbound = exchange.outbound
        request.path = outbound.target
        // The headers are set here rather than on the client's request, which would copy each of them five times.
        request.setHeaders()
        request.addHeader(HttpHeaders.HOST, outbound.host)
        for ((name, value) in outbound.headers) request.addHeader(name, value)
        exchange.markHandedToConnection()
    }
}
