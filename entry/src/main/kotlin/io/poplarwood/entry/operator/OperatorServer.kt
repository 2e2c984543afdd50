package io.poplarwood.entry.operator

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationEngine
import io.ktor.server.request.path
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.routing
import io.ktor.util.AttributeKey
import io.poplarwood.entry.log.EventLog
import io.poplarwood.entry.log.LogEvent
import io.poplarwood.entry.settings.OperatorListener
import kotlinx.serialization.json.Json
import java.nio.file.Path

/** Listener of the operators' API: requires a bearer token except for `/ready`, and uses TLS if the settings do. */
class OperatorServer(private val settings: OperatorListener, private val backend: OperatorBackend) {
    private val log = EventLog()
    private val tokens = OperatorTokens(Path.of(settings.tokenFile))
    private val tls = settings.tls?.let { files ->
        ReloadingTls(files) { log.log(LogEvent.TLS_FILES_UNREADABLE, it.message) }
    }
    private val server: EmbeddedServer<NettyApplicationEngine, NettyApplicationEngine.Configuration> =
        embeddedServer(Netty, configure = { configure() }) { installRoutes() }

    /** Port that the listener is bound to; 0 before [start]. */
    var port: Int = 0
        private set

    /** Binds the listener. */
    suspend fun start() {
        server.startSuspend(wait = false)
        port = server.engine.resolvedConnectors().first().port
    }

    /** Closes the listener and its connections. */
    suspend fun stop() {
        server.stopSuspend(0, STOP_TIMEOUT_MS)
    }

    private fun NettyApplicationEngine.Configuration.configure() {
        connector {
            host = settings.address.substringBeforeLast(':')
            port = settings.address.substringAfterLast(':').toInt()
        }
        enableHttp2 = false
        connectionGroupSize = 1
        workerGroupSize = 1
        callGroupSize = 2
        channelPipelineConfig = { tls?.secure(channel()) }
    }

    private fun Application.installRoutes() {
        intercept(ApplicationCallPipeline.Plugins) {
            if (context.request.path() == READY_PATH) return@intercept
            val operatorName = tokens.operator(context.request.headers[HttpHeaders.Authorization])
            if (operatorName == null) {
                context.response.header(HttpHeaders.WWWAuthenticate, "Bearer")
                context.respondJson(OperatorError("a bearer token is required"), HttpStatusCode.Unauthorized)
                finish()
            } else {
                context.attributes.put(OPERATOR_NAME, operatorName)
            }
        }
        routing { operatorRoutes(backend) }
    }

    internal companion object {
        const val READY_PATH = "/ready"
        val OPERATOR_NAME = AttributeKey<String>("operator")
        private const val STOP_TIMEOUT_MS = 500L
    }
}

internal suspend inline fun <reified T> ApplicationCall.respondJson(
    body: T,
    status: HttpStatusCode = HttpStatusCode.OK,
) = respondText(Json.encodeToString(body), ContentType.Application.Json, status)
