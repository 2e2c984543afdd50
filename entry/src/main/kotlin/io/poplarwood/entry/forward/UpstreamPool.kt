package io.poplarwood.entry.forward

import io.ktor.client.HttpClient
import io.ktor.client.engine.apache5.Apache5
import io.poplarwood.entry.settings.HttpSettings
import kotlinx.coroutines.Dispatchers
import org.apache.hc.client5.http.HttpRoute
import org.apache.hc.client5.http.config.ConnectionConfig
import org.apache.hc.client5.http.impl.ChainElement
import org.apache.hc.client5.http.impl.nio.PoolingAsyncClientConnectionManager
import org.apache.hc.client5.http.impl.nio.PoolingAsyncClientConnectionManagerBuilder
import org.apache.hc.core5.http.HttpHost
import org.apache.hc.core5.pool.PoolReusePolicy
import org.apache.hc.core5.reactor.IOReactorConfig
import org.apache.hc.core5.util.TimeValue
import org.apache.hc.core5.util.Timeout
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/**
 * Pool of connections to upstreams.
 *
 * @param idle time for which an idle connection is kept for reuse; zero opens a new connection for each request
 * @param threads number of I/O threads
 */
internal class UpstreamPool(settings: HttpSettings, idle: Duration, threads: Int) : AutoCloseable {
    /** Links requests of [client] to their exchanges. */
    val interceptor = ExchangeInterceptor()

    private val limits = ConcurrentHashMap<String, Int>()
    private val manager: PoolingAsyncClientConnectionManager =
        PoolingAsyncClientConnectionManagerBuilder.create()
            .setMaxConnTotal(Int.MAX_VALUE)
            .setMaxConnPerRoute(settings.upstreamConnections)
            .setConnPoolPolicy(PoolReusePolicy.LIFO)
            .setDefaultConnectionConfig(connectionConfig(settings))
            .build()

    val client: HttpClient =
        HttpClient(Apache5) {
            followRedirects = false
            expectSuccess = false
            useDefaultTransformers = false
            engine {
                followRedirects = false
                // Nothing on this path blocks; the default dispatcher would cost two thread switches per request.
                dispatcher = Dispatchers.Unconfined
                socketTimeout = 0
                connectTimeout = settings.connectTimeoutMs
                connectionRequestTimeout = settings.connectTimeoutMs
                customizeClient {
                    setConnectionManager(manager)
                    setIOReactorConfig(reactorConfig(threads))
                    // Sent when the caller sent no User-Agent, in place of the engine's own name.
                    setUserAgent("poplarwood")
                    disableAutomaticRetries()
                    disableRedirectHandling()
                    setKeepAliveStrategy { _, _ -> TimeValue.ofMilliseconds(idle.inWholeMilliseconds) }
                    if (idle == Duration.ZERO) setConnectionReuseStrategy { _, _, _ -> false }
                    addExecInterceptorBefore(ChainElement.MAIN_TRANSPORT.name, "exchange", interceptor)
                }
            }
        }

    /** Sets the maximum number of connections to [address] to [limit]. */
    fun setConnectionLimit(address: String, limit: Int) {
        if (limits[address] == limit) return
        limits[address] = limit
        val colon = address.lastIndexOf(':')
        val host = HttpHost("http", address.substring(0, colon), address.substring(colon + 1).toInt())
        manager.setMaxPerRoute(HttpRoute(host), limit)
    }

    /** Closes connections that were idle for longer than the pool keeps them. */
    fun closeExpired() = manager.closeExpired()

    override fun close() {
        client.close()
        manager.close()
    }

    private companion object {
        fun connectionConfig(settings: HttpSettings): ConnectionConfig =
            ConnectionConfig.custom()
                .setConnectTimeout(Timeout.ofMilliseconds(settings.connectTimeoutMs))
                .setSocketTimeout(Timeout.DISABLED)
                .setValidateAfterInactivity(TimeValue.NEG_ONE_MILLISECOND)
                .build()

        fun reactorConfig(threads: Int): IOReactorConfig =
            IOReactorConfig.custom().setIoThreadCount(threads).setTcpNoDelay(true).build()
    }
}
