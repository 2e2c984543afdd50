package io.poplarwood.entry.forward

import io.ktor.client.request.prepareRequest
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.utils.io.InternalAPI
import io.poplarwood.api.http.Headers
import io.poplarwood.api.time.Ticker
import io.poplarwood.decision.routing.AttemptObservation
import io.poplarwood.decision.routing.AttemptResult
import io.poplarwood.entry.log.EventLog
import io.poplarwood.entry.log.LogEvent
import io.poplarwood.entry.metrics.EntryMetrics
import io.poplarwood.entry.settings.HttpSettings
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.isActive
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Sends attempts to upstreams and streams their responses.
 *
 * @param connectionLimit maximum number of connections that this entry may open to an upstream address
 * @param probeAllowed whether the probe budget allows a probe of an upstream address now
 */
internal class Forwarder(
    settings: HttpSettings,
    private val ticker: Ticker,
    private val metrics: EntryMetrics,
    private val log: EventLog,
    private val connectionLimit: (String) -> Int,
    private val probeAllowed: (String) -> Boolean,
) : AutoCloseable {
    private val idleLimit = settings.upstreamIdleMs.milliseconds
    private val threads = if (settings.upstreamThreads > 0) settings.upstreamThreads else DEFAULT_THREADS
    private val regularPool = UpstreamPool(settings, idleLimit, threads)
    private val recentPool = UpstreamPool(settings, RECENT_IDLE_LIMIT, threads)
    private val upstreamProbe = UpstreamProbe(settings)
    private val latencies = LatencyWindow()
    private val silentAt = ConcurrentHashMap<String, Duration>()
    private val keys = AtomicLong()
    private lateinit var backgroundScope: CoroutineScope
    private val monitor = ExchangeMonitor(ticker, latencies, ::startProbe, ::onSilentConnection)

    /** Starts monitoring exchanges and closing expired connections, in [scope]. */
    fun start(scope: CoroutineScope) {
        backgroundScope = scope
        scope.launch {
            var lastCleanup = ticker.now()
            while (isActive) {
                delay(MONITOR_INTERVAL)
                monitor.checkExchanges()
                if (ticker.now() - lastCleanup < RECENT_IDLE_LIMIT) continue
                lastCleanup = ticker.now()
                regularPool.closeExpired()
                recentPool.closeExpired()
                silentAt.values.removeIf { lastCleanup - it > idleLimit }
            }
        }
    }

    /**
     * Sends [outbound] and passes the upstream's response to [deliver].
     *
     * [deliver] is not called when the upstream states that it did not run the request, or when no response arrived.
     */
    suspend fun send(outbound: OutboundRequest, deliver: suspend (UpstreamResponse) -> Unit): AttemptObservation {
        val started = ticker.now()
        val pool =
            if (outbound.recentConnectionOnly || silentAt.containsKey(outbound.address)) recentPool else regularPool
        pool.setConnectionLimit(outbound.address, connectionLimit(outbound.address))
        val key = keys.incrementAndGet().toString()
        var exchange: Exchange? = null
        var load: ReportedLoad? = null
        val result =
            try {
                coroutineScope {
                    val newExchange = Exchange(outbound, coroutineContext.job, ticker)
                    exchange = newExchange
                    pool.interceptor.register(key, newExchange)
                    monitor.add(newExchange)
                    val upload = newExchange.upload?.let { launch { upload(newExchange, it) } }
                    request(pool, newExchange, key) { response ->
                        latencies.add(outbound.latencyKey, newExchange.markHeadReceived())
                        load = ReportedLoad.parse(response.headers[Headers.LOAD])
                        handleResponse(response, outbound.address, deliver)
                    }.also { upload?.cancel() }
                }
            } catch (e: Exception) {
                currentCoroutineContext().ensureActive()
                failureOf(e, exchange)
            } finally {
                pool.interceptor.unregister(key)
                exchange?.let(monitor::remove)
            }
        return AttemptObservation(result, ticker.now() - started, load?.inFlight, load?.slots)
    }

    /** Sends a probe to [address] on a new connection; true when any response came. */
    suspend fun probe(address: String): Boolean = upstreamProbe.send(address).also(metrics::countSilenceProbe)

    override fun close() {
        regularPool.close()
        recentPool.close()
        upstreamProbe.close()
    }

    /** Sends a streamed body once the connection requests it. A failure of the caller ends the exchange. */
    private suspend fun upload(exchange: Exchange, producer: UploadProducer) {
        val body = exchange.outbound.body as RequestBody.Streaming
        try {
            producer.outputRequested.await()
            body.copy(producer, exchange)
            producer.finish()
        } catch (e: CallerFailureException) {
            producer.failed(e)
            exchange.failed()
        } catch (e: IOException) {
            // The connection ended or the response came before the end of the body; the request reports either.
            producer.failed(e)
        }
    }

    private fun failureOf(cause: Exception, exchange: Exchange?): AttemptResult =
        exchange?.forcedResult ?: when {
            generateSequence<Throwable>(cause) { it.cause }.any { it is CallerFailureException } ->
                AttemptResult.CANCELLED
            exchange?.handedToConnection == true -> AttemptResult.CONNECTION_LOST
            else -> AttemptResult.CONNECT_FAILED
        }

    private fun startProbe(address: String, done: (Boolean) -> Unit): Boolean {
        if (!probeAllowed(address)) return false
        backgroundScope.launch { done(probe(address)) }
        return true
    }

    /**
     * Other idle connections to the address may have been dropped as well, so requests to it use [recentPool] until
     * those connections have expired.
     */
    private fun onSilentConnection(address: String) {
        silentAt[address] = ticker.now()
        metrics.countSilentConnection()
        log.log(LogEvent.CONNECTION_SILENT, address)
    }

    private suspend fun <T> request(
        pool: UpstreamPool,
        exchange: Exchange,
        key: String,
        read: suspend (HttpResponse) -> T,
    ): T {
        val outbound = exchange.outbound
        return pool.client.prepareRequest {
            method = HttpMethod(outbound.method)
            url("http://${outbound.address}/")
            headers.append(HopHeaders.EXCHANGE_HEADER, key)
        }.execute { read(it) }
    }

    @OptIn(InternalAPI::class)
    private suspend fun handleResponse(
        response: HttpResponse,
        address: String,
        deliver: suspend (UpstreamResponse) -> Unit,
    ): AttemptResult {
        val status = response.status.value
        if (status == SERVICE_UNAVAILABLE) {
            when (response.headers[Headers.NOT_RUN]) {
                "busy" -> return AttemptResult.BUSY
                "draining" -> return AttemptResult.DRAINING
            }
        }
        val length = response.headers[HttpHeaders.ContentLength]?.toLongOrNull()
        deliver(UpstreamResponse(address, status, response.headers, length, response.rawContent))
        return if (status >= SERVER_ERROR) AttemptResult.SERVER_ERROR else AttemptResult.ANSWERED
    }

    private companion object {
        const val SERVICE_UNAVAILABLE = 503
        const val SERVER_ERROR = 500
        const val DEFAULT_THREADS = 2
        val MONITOR_INTERVAL = 20.milliseconds

        /** A connection idle for less than this is unlikely to have been dropped silently by a device on its path. */
        val RECENT_IDLE_LIMIT = 1.seconds
    }
}
