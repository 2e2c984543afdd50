package io.poplarwood.entry.http

import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationEngine
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelPipeline
import io.netty.handler.codec.http.HttpServerCodec
import io.poplarwood.api.id.RequestId
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.api.time.Ticker
import io.poplarwood.api.work.ServiceDocument
import io.poplarwood.decision.once.KeyOutcome
import io.poplarwood.entry.forward.Forwarder
import io.poplarwood.entry.log.EventLog
import io.poplarwood.entry.log.LogEvent
import io.poplarwood.entry.metrics.EntryMetrics
import io.poplarwood.entry.once.KeyService
import io.poplarwood.entry.operator.ReloadingTls
import io.poplarwood.entry.runtime.CallRunner
import io.poplarwood.entry.settings.HttpSettings
import io.poplarwood.peer.message.ForwardHead
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The callers' listener and the path from it to the upstreams.
 *
 * @param documents returns the active document of a service; null when the service is unknown
 * @param runners returns what dispatches the calls of a service; null when the service is unknown
 * @param entryName prefix of the request identifiers of this entry
 * @param connectionLimit maximum number of connections that this entry may open to an upstream address
 * @param probeAllowed whether the probe budget allows a probe of an upstream address now
 * @param ownPaths responds to requests for the entry itself; false for a request to forward
 * @param keys routes requests with idempotency keys to the entries that own the keys; null treats the key as any header
 */
class CallServer(
    private val settings: HttpSettings,
    documents: (ServiceName) -> ServiceDocument?,
    runners: (ServiceName) -> CallRunner?,
    private val ticker: Ticker,
    private val metrics: EntryMetrics = EntryMetrics(),
    private val entryName: String = "entry",
    connectionLimit: (String) -> Int = { settings.upstreamConnections },
    probeAllowed: (String) -> Boolean = { true },
    ownPaths: suspend (ApplicationCall) -> Boolean = { false },
    keys: KeyService? = null,
    private val log: EventLog = EventLog(),
) {
    private val sequence = AtomicLong()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val connections = CallerConnections(settings.callerConnections, metrics)
    private val forwarder = Forwarder(settings, ticker, metrics, log, connectionLimit, probeAllowed)
    private val warmUp = WarmUp(forwarder, ticker)
    private val reader = RequestReader(settings, warmUp.withOwnDocument(documents), ticker)
    private val forwardedCalls = keys?.let { ForwardedCalls(reader, runners, forwarder, ticker, metrics, it) }
    private val handler =
        CallHandler(
            settings = settings,
            reader = reader,
            runners = warmUp.withOwnRunner(runners),
            forwarder = forwarder,
            writer = ResponseWriter(metrics, log),
            ticker = ticker,
            metrics = metrics,
            log = log,
            requestIds = ::nextRequestId,
            keys = keys,
            scope = scope,
        )
    private val tls = settings.tls?.let { ReloadingTls(it) { e -> log.log(LogEvent.TLS_FILES_UNREADABLE, e.message) } }
    private val listener = ListenerHandle()
    private val server: EmbeddedServer<NettyApplicationEngine, NettyApplicationEngine.Configuration> =
        embeddedServer(Netty, configure = { configure() }) {
            intercept(ApplicationCallPipeline.Call) {
                if (!warmUp.answerOwnRequest(context) && !ownPaths(context)) handler.handle(context)
            }
        }

    /** Port that the listener is bound to; 0 before [start]. */
    var port: Int = 0
        private set

    /** Number of requests without a final response. */
    val inFlight: Int get() = handler.inFlight

    /** Binds the listener and starts accepting connections. */
    suspend fun start() {
        forwarder.start(scope)
        server.startSuspend(wait = false)
        port = server.engine.resolvedConnectors().first().port
        log.log(LogEvent.LISTENING, settings.host, port)
    }

    /**
     * Sends requests from this entry through its own listener and back to it as an upstream, over real connections, so
     * that code is loaded and compiled before callers arrive. Takes at most [limit].
     *
     * @return number of requests that got a response
     */
    suspend fun warmUp(limit: Duration = WARM_UP_LIMIT): Int {
        val started = ticker.now()
        val answered = warmUp.run(port, limit)
        log.log(LogEvent.WARMED_UP, answered, (ticker.now() - started).inWholeMilliseconds)
        return answered
    }

    /** Runs a request that a peer forwarded because this entry owns its idempotency key. */
    suspend fun serve(head: ForwardHead, body: ByteArray): KeyOutcome =
        forwardedCalls?.serve(head, body) ?: KeyOutcome.Refused(RefusalReason.KEY_OWNER_UNREACHABLE)

    /** Sends a probe to [address] on a new connection; true when any response came. */
    suspend fun probe(address: String): Boolean = forwarder.probe(address)

    /**
     * Shuts down without interrupting requests.
     *
     * Keeps serving for at least [advertisedFor], the time in which directory replies may still list this entry, and
     * until no request is in flight; responses ask callers to close their connections. Then closes the listener and
     * each connection that is idle. Gives up after [limit].
     *
     * @return true when no request was in flight at the end
     */
    suspend fun drain(limit: Duration, advertisedFor: Duration = Duration.ZERO): Boolean {
        val started = ticker.now()
        log.log(LogEvent.DRAIN_STARTED, inFlight, limit.inWholeMilliseconds)
        connections.draining = true
        while (ticker.now() - started < limit) {
            if (inFlight == 0 && ticker.now() - started >= advertisedFor) break
            delay(DRAIN_POLL_INTERVAL)
        }
        listener.close()
        while (!connections.isEmpty && ticker.now() - started < limit) {
            connections.closeIdleFor(MIN_IDLE)
            delay(DRAIN_POLL_INTERVAL)
        }
        log.log(LogEvent.DRAIN_ENDED, inFlight, (ticker.now() - started).inWholeMilliseconds)
        return inFlight == 0
    }

    /** Closes the listener and every connection without waiting for requests. */
    suspend fun stop() {
        server.stopSuspend(0, 0)
        scope.cancel()
        forwarder.close()
    }

    private fun nextRequestId() = RequestId(entryName + "-" + sequence.incrementAndGet().toString(REQUEST_ID_RADIX))

    private fun NettyApplicationEngine.Configuration.configure() {
        connector {
            host = settings.host
            port = settings.port
        }
        enableHttp2 = false
        responseWriteTimeoutSeconds = 0
        // Handlers suspend and never block, so they run on the connection's event loop.
        shareWorkGroup = true
        if (settings.callerThreads > 0) {
            connectionGroupSize = 1
            workerGroupSize = settings.callerThreads
            callGroupSize = settings.callerThreads
        }
        httpServerCodec = {
            HttpServerCodec(settings.maxRequestLineBytes, settings.maxHeaderBytes, MAX_CHUNK_BYTES)
        }
        configureBootstrap = { handler(listener) }
        channelPipelineConfig = { configurePipeline(this) }
    }

    private fun configurePipeline(pipeline: ChannelPipeline) {
        tls?.secure(pipeline.channel())
        val inboundBytes = InboundByteHandler()
        // The engine would send 100 Continue before the request is accepted; CallerConnection.sendContinue replaces it.
        pipeline.remove("continue")
        pipeline.addBefore("codec", "bytes", inboundBytes)
        pipeline.addAfter(
            "codec",
            "guard",
            ConnectionGuard(settings, connections, inboundBytes, metrics, ::nextRequestId),
        )
    }

    /** Captures the listening channel, which the engine does not expose. */
    @io.netty.channel.ChannelHandler.Sharable
    private class ListenerHandle : ChannelInboundHandlerAdapter() {
        @Volatile
        private var channel: Channel? = null

        override fun handlerAdded(ctx: ChannelHandlerContext) {
            channel = ctx.channel()
        }

        fun close() {
            channel?.close()?.syncUninterruptibly()
        }
    }

    private companion object {
        const val REQUEST_ID_RADIX = 36
        const val MAX_CHUNK_BYTES = 16 * 1024
        val WARM_UP_LIMIT = 10.seconds

        /** Longer than a request takes from a caller to the entry, so no request on the connection is lost. */
        val MIN_IDLE = 500.milliseconds
        val DRAIN_POLL_INTERVAL = 10.milliseconds
    }
}
