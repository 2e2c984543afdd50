package io.poplarwood.entry.http

import com.github.michaelbull.result.getOrElse
import io.ktor.server.application.ApplicationCall
import io.ktor.server.netty.NettyApplicationRequest
import io.poplarwood.api.http.Headers
import io.poplarwood.api.id.RequestId
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.outcome.Refusal
import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.api.time.Ticker
import io.poplarwood.decision.once.KeyOutcome
import io.poplarwood.decision.once.StoredResponse
import io.poplarwood.entry.forward.Forwarder
import io.poplarwood.entry.forward.HopHeaders
import io.poplarwood.entry.log.EventLog
import io.poplarwood.entry.log.LogEvent
import io.poplarwood.entry.metrics.EntryMetrics
import io.poplarwood.entry.once.KeyService
import io.poplarwood.entry.runtime.CallRunner
import io.poplarwood.entry.settings.HttpSettings
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.job
import java.util.concurrent.atomic.AtomicInteger

/** Processes a caller's request from its head to its final response. */
internal class CallHandler(
    private val settings: HttpSettings,
    private val reader: RequestReader,
    private val runners: (ServiceName) -> CallRunner?,
    private val forwarder: Forwarder,
    private val writer: ResponseWriter,
    private val ticker: Ticker,
    private val metrics: EntryMetrics,
    private val log: EventLog,
    private val requestIds: () -> RequestId,
    private val keys: KeyService?,
    private val scope: CoroutineScope,
) {
    private val inFlightCount = AtomicInteger()

    /** Number of requests without a final response. */
    val inFlight: Int get() = inFlightCount.get()

    suspend fun handle(call: ApplicationCall) {
        val request = call.request as NettyApplicationRequest
        val connection = request.context.channel().attr(CallerConnection.KEY).get()
        val exchange = CallerExchange(connection, checkNotNull(request.headers[HopHeaders.EXCHANGE_HEADER]).toInt())
        inFlightCount.incrementAndGet()
        metrics.requestStarted()
        try {
            coroutineScope {
                exchange.attach(coroutineContext.job)
                process(call, exchange)
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            // An untyped failure has no refusal that is known to be true, so the caller's connection is closed.
            log.log(LogEvent.HANDLER_FAILED, call.response.headers[Headers.REQUEST_ID], e)
            exchange.abort()
        } finally {
            exchange.detach()
            metrics.requestEnded()
            inFlightCount.decrementAndGet()
        }
    }

    private suspend fun process(call: ApplicationCall, exchange: CallerExchange) {
        val id = requestIds()
        val inbound =
            reader.read(call.request, id).getOrElse {
                refuse(call, it, id)
                return
            }
        val runner = runners(inbound.service)
        if (runner == null) {
            refuse(call, Refusal(RefusalReason.UNKNOWN_SERVICE), id)
        } else {
            run(call, inbound, runner, exchange)
        }
    }

    private suspend fun run(
        call: ApplicationCall,
        inbound: InboundRequest,
        runner: CallRunner,
        exchange: CallerExchange,
    ) {
        val body = if (inbound.bodyLength == 0L) null else bodyReader(call, inbound, exchange)
        val keyService = keys.takeIf { !inbound.call.idempotent }
        val key = if (keyService == null) null else call.request.headers[Headers.IDEMPOTENCY_KEY]
        val hasIdempotencyKey = key != null
        val attempts =
            CallAttempts(call, inbound, exchange, body, forwarder, writer, ticker, metrics, hasIdempotencyKey)
        val result =
            try {
                attempts.prepare()
                val identified = inbound.withBody(attempts.bufferedBody())
                if (keyService != null && key != null) {
                    runKeyed(key, KeyedCall(identified, attempts, runner, keyService, ticker), attempts)
                } else {
                    CallResult(attempts.finalRefusal(runner.run(identified.call) { attempts.attempt(it) }))
                }
            } catch (e: RequestBodyException) {
                CallResult(e.refusal)
            }
        val outcome = result.refusal?.reason?.kind?.wire ?: ANSWERED
        metrics.recordRequest(inbound.service, inbound.workClass.name, outcome, ticker.now() - inbound.call.arrived)
        val id = inbound.call.request
        when {
            attempts.committed -> Unit

            result.refusal != null -> refuse(call, result.refusal, id)

            result.storedAnswer != null -> writer.replay(call, result.storedAnswer, id)

            // The call ended without a response; the caller must not take that for an empty response.
            else -> exchange.abort()
        }
    }

    /**
     * Runs a request with an idempotency key. If its body is in memory, the request completes even when the caller
     * disconnects, so that a resend gets the stored response.
     */
    private suspend fun runKeyed(key: String, call: KeyedCall, attempts: CallAttempts): CallResult {
        val outcome =
            if (attempts.bufferedBody() == null) call.handle(key) else scope.async { call.handle(key) }.await()
        return when (outcome) {
            is KeyOutcome.Answered -> CallResult(null, outcome.answer)
            is KeyOutcome.Refused -> CallResult(call.refusal(outcome.reason))
        }
    }

    private class CallResult(val refusal: Refusal?, val storedAnswer: StoredResponse? = null)

    private fun bodyReader(
        call: ApplicationCall,
        inbound: InboundRequest,
        exchange: CallerExchange,
    ) = BodyReader(
        channel = call.request.receiveChannel(),
        exchange = exchange,
        length = inbound.bodyLength,
        maxBytes = inbound.workClass.maxBodyBytes,
        settings = settings,
        ticker = ticker,
        metrics = metrics,
    )

    private suspend fun refuse(call: ApplicationCall, refusal: Refusal, id: RequestId) {
        metrics.countRefusal(refusal.reason)
        writer.refuse(call, refusal, id)
    }

    private companion object {
        const val ANSWERED = "answered"
    }
}
