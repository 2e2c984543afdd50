package io.poplarwood.entry.http

import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationEngine
import io.poplarwood.api.id.RequestId
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.time.Ticker
import io.poplarwood.api.work.ServiceDocument
import io.poplarwood.entry.forward.Forwarder
import io.poplarwood.entry.metrics.EntryMetrics
import io.poplarwood.entry.runtime.CallRunner
import io.poplarwood.entry.settings.HttpSettings
import java.util.concurrent.atomic.AtomicLong

/**
 * The callers' listener and the path from it to the upstreams.
 *
 * @param documents the document in force of a service; null when there is no such service
 * @param runners takes a service's calls through its decisions; null when there is no such service
 * @param entryName distinguishes the request identifiers of this entry
 * @param connectionLimit connections that this entry may open to an upstream address
 * @param ownPaths answers what is for the entry itself; false for a request to forward
 */
class CallServer(
    private val settings: HttpSettings,
    documents: (ServiceName) -> ServiceDocument?,
    runners: (ServiceName) -> CallRunner?,
    ticker: Ticker,
    private val metrics: EntryMetrics = EntryMetrics(),
    private val entryName: String = "entry",
    connectionLimit: (String) -> Int = { settings.upstreamConnections },
    ownPaths: suspend (ApplicationCall) -> Boolean = { false },
) {
    private val sequence = AtomicLong()
    private val forwarder = Forwarder(settings, ticker, connectionLimit)
    private val handler =
        CallHandler(
            reader = RequestReader(settings, documents, ticker),
            runners = runners,
            forwarder = forwarder,
            writer = AnswerWriter(metrics),
            ticker = ticker,
            metrics = metrics,
            requestIds = { RequestId(entryName + "-" + sequence.incrementAndGet().toString(RADIX)) },
        )
    private val server: EmbeddedServer<NettyApplicationEngine, NettyApplicationEngine.Configuration> =
        embeddedServer(Netty, configure = {
            connector {
                host = settings.host
                port = settings.port
            }
            enableHttp2 = false
        }) {
            intercept(ApplicationCallPipeline.Call) { if (!ownPaths(context)) handler.handle(context) }
        }

    /** Port that the listener is bound to, after [start]. */
    var port: Int = 0
        private set

    /** Binds the listener and accepts connections. */
    suspend fun start() {
        server.startSuspend(wait = false)
        port = server.engine.resolvedConnectors().first().port
    }

    /** Closes the listener and every connection at once. */
    suspend fun stop() {
        server.stopSuspend(0, 0)
        forwarder.close()
    }

    private companion object {
        const val RADIX = 36
    }
}
