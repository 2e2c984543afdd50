package io.poplarwood.entry.forward

import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.content.ByteArrayContent
import io.ktor.http.content.OutgoingContent
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.InternalAPI
import io.poplarwood.api.http.Headers
import io.poplarwood.api.time.Ticker
import io.poplarwood.decision.routing.AttemptEvidence
import io.poplarwood.decision.routing.AttemptResult
import io.poplarwood.entry.settings.HttpSettings
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Sends attempts to upstreams and streams their answers.
 *
 * @param connectionLimit connections that this entry may open to an upstream address
 */
internal class Forwarder(
    settings: HttpSettings,
    private val ticker: Ticker,
    private val connectionLimit: (String) -> Int,
) : AutoCloseable {
    private val threads = if (settings.upstreamThreads > 0) settings.upstreamThreads else DEFAULT_THREADS
    private val reused = UpstreamPool(settings, ticker, settings.upstreamIdleMs.milliseconds, threads)
    private val recent = UpstreamPool(settings, ticker, RECENT, threads)
    private val keys = AtomicLong()

    /**
     * Sends [outbound] and hands an answer that ran to [deliver].
     *
     * [deliver] is not called when the result says that the attempt did not run or was lost before its answer.
     */
    suspend fun send(outbound: Outbound, deliver: suspend (UpstreamAnswer) -> Unit): AttemptEvidence {
        val started = ticker.now()
        val exchange = Exchange(outbound)
        val pool = if (outbound.recentOnly) recent else reused
        pool.limit(outbound.address, connectionLimit(outbound.address))
        val key = keys.incrementAndGet().toString()
        pool.interceptor.register(key, exchange)
        var reported: Load? = null
        val result =
            try {
                withHeadDeadline(outbound.deadline - started) { headArrived ->
                    request(pool, exchange, key) { response ->
                        headArrived()
                        reported = Load.parse(response.headers[Headers.LOAD])
                        take(response, deliver)
                    }
                }
            } catch (e: Exception) {
                currentCoroutineContext().ensureActive()
                if (exchange.handed) AttemptResult.CONNECTION_LOST else AttemptResult.CONNECT_FAILED
            } finally {
                pool.interceptor.forget(key)
            }
        return AttemptEvidence(result, ticker.now() - started, reported?.inFlight, reported?.slots)
    }

    /** Closes connections whose idle age is over; called about once a second. */
    fun closeExpired() {
        reused.closeExpired()
        recent.closeExpired()
    }

    override fun close() {
        reused.close()
        recent.close()
    }

    private suspend fun withHeadDeadline(
        limit: Duration,
        send: suspend (headArrived: () -> Unit) -> AttemptResult,
    ): AttemptResult = withTimeoutOrNull(limit) { send {} } ?: AttemptResult.TIMED_OUT

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
            for ((name, value) in outbound.headers) headers.append(name, value)
            headers.append(HopHeaders.EXCHANGE, key)
            setBody(content(outbound.body))
        }.execute { read(it) }
    }

    @OptIn(InternalAPI::class)
    private suspend fun take(response: HttpResponse, deliver: suspend (UpstreamAnswer) -> Unit): AttemptResult {
        val status = response.status.value
        if (status == SERVICE_UNAVAILABLE) {
            when (response.headers[Headers.NOT_RUN]) {
                "busy" -> return AttemptResult.BUSY
                "draining" -> return AttemptResult.DRAINING
            }
        }
        val length = response.headers[HttpHeaders.ContentLength]?.toLongOrNull()
        deliver(UpstreamAnswer(status, response.headers, length, response.rawContent))
        return if (status >= SERVER_ERROR) AttemptResult.SERVER_ERROR else AttemptResult.ANSWERED
    }

    private fun content(body: RequestBody): OutgoingContent =
        when (body) {
            is RequestBody.None -> NoBody

            is RequestBody.Kept -> ByteArrayContent(body.bytes)

            is RequestBody.Arriving ->
                object : OutgoingContent.WriteChannelContent() {
                    override val contentLength: Long? = body.length

                    override suspend fun writeTo(channel: ByteWriteChannel) = body.copy(channel)
                }
        }

    private object NoBody : OutgoingContent.NoContent()

    private companion object {
        const val SERVICE_UNAVAILABLE = 503
        const val SERVER_ERROR = 500
        const val DEFAULT_THREADS = 2

        /** A connection that answered this recently cannot have lost its state on the path unnoticed for long. */
        val RECENT = 1.seconds
    }
}
