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

/** Connections to upstreams that are kept for reuse for at most [idle]; zero opens a fresh one for each request. */
internal class UpstreamPool(settings: HttpSettings, idle: Duration, threads: Int) : AutoCloseable {
    /** Ties requests of [client] to their exchanges. */
    val interceptor = ExchangeInterceptor()

    private val limits = ConcurrentHashMap<String, Int>()
    private val manager: PoolingAsyncClientConnectionManager =
        PoolingAsyncClientConnectionManagerBuilder.create()
            .setMaxConnTotal(Int.MAX_VALUE)
            .setMaxConnPerRoute(settings.upstreamConnections)
            .setConnPoolPolicy(PoolReusePolicy.LIFO)
            .setDefaultConnectionConfig(connectionConfig(settings))
            .build()

    /** Sends requests over this pool's connections. */
    val client: HttpClient =
        HttpClient(Apache5) {
            followRedirects = false
            expectSuccess = false
            useDefaultTransformers = false
            engine {
                followRedirects = false
                // Nothing on this path blocks; the engine's default pool of blocking threads costs two hops a call.
                dispatcher = Dispatchers.Unconfined
                socketTimeout = 0
                connectTimeout = settings.connectTimeoutMs
                connectionRequestTimeout = settings.connectTimeoutMs
                customizeClient {
                    setConnectionManager(manager)
                    setIOReactorConfig(reactorConfig(threads))
                    // The engine names itself where the caller sent no User-Agent; this is the name it uses.
                    setUserAgent("poplarwood")
                    disableAutomaticRetries()
                    disableRedirectHandling()
                    setKeepAliveStrategy { _, _ -> TimeValue.ofMilliseconds(idle.inWholeMilliseconds) }
                    if (idle == Duration.ZERO) setConnectionReuseStrategy { _, _, _ -> false }
                    addExecInterceptorBefore(ChainElement.MAIN_TRANSPORT.name, "exchange", interceptor)
                }
            }
        }

    /** Applies the connection limit of [address]. */
    fun setConnectionLimit(address: String, limit: Int) {
        if (limits[address] == limit) return
        limits[address] = limit
        val colon = address.lastIndexOf(':')
        val host = HttpHost("http", address.substring(0, colon), address.substring(colon + 1).toInt())
        manager.setMaxPerRoute(HttpRoute(host), limit)
    }

    /** Closes connections whose idle age is over. */
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
