package io.poplarwood.standins.platform

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.request.receive
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import io.poplarwood.api.platform.Row
import io.poplarwood.api.platform.RowWrite
import io.poplarwood.api.platform.StoreFailure
import io.poplarwood.api.platform.VmRecord
import io.poplarwood.standins.net.LOOPBACK
import io.poplarwood.standins.net.LoopbackServer
import io.poplarwood.standins.net.channel
import io.poplarwood.standins.net.reset
import kotlinx.serialization.json.Json
import java.util.Base64

/** Serves [platform] over HTTP on loopback; with port 0 the server listens on any free port. */
class PlatformServer(private val platform: StandInPlatform, private val port: Int = 0) {
    private val server = LoopbackServer(port) { configureRoutes() }

    /** `ip:port` of the listener; set by [start]. */
    lateinit var address: String
        private set

    /** Starts the listener. */
    suspend fun start(): PlatformServer {
        address = "$LOOPBACK:${server.start()}"
        return this
    }

    /** Closes the listening socket and all connections. */
    suspend fun stop(): Unit = server.stop()

    private fun Application.configureRoutes() {
        routing {
            tableRoutes()
            objectRoutes()
            get("/vms") { call.respondResult(platform.vms.list()) { respondJson(it) } }
            controlRoutes()
        }
    }

    private fun Route.tableRoutes() {
        get("/table/row") {
            val rows = platform.table.read(call.queryParameter("key")).map { listOfNotNull(it) }
            call.respondResult(rows) { respondJson(rowsBody(it)) }
        }
        get("/table/rows") {
            val limit = call.queryParameter("limit").toIntOrNull() ?: 0
            call.respondResult(
                platform.table.scan(call.queryParameter("prefix"), call.queryParameter("after"), limit),
            ) {
                respondJson(rowsBody(it))
            }
        }
        post("/table/transactions") {
            val writes = Json.decodeFromString<TransactionBody>(call.receiveText()).writes.map(::toRowWrite)
            call.respondResult(platform.table.transact(writes)) { respond(HttpStatusCode.NoContent) }
        }
    }

    private fun Route.objectRoutes() {
        put("/objects") {
            val bytes = call.receive<ByteArray>()
            call.respondResult(platform.objects.put(call.queryParameter("name"), bytes)) {
                respond(HttpStatusCode.NoContent)
            }
        }
        get("/objects") {
            call.respondResult(platform.objects.get(call.queryParameter("name"))) { bytes ->
                if (bytes == null) respondAbsent() else respondBytes(bytes, ContentType.Application.OctetStream)
            }
        }
    }

    private fun Route.controlRoutes() {
        get("/control/faults") { call.respondJson(platform.faults) }
        put("/control/faults") {
            platform.faults = Json.decodeFromString(call.receiveText())
            call.respond(HttpStatusCode.NoContent)
        }
        get("/control/counts") { call.respondJson(platform.counts()) }
        put("/control/vms") {
            platform.setVms(Json.decodeFromString<List<VmRecord>>(call.receiveText()))
            call.respond(HttpStatusCode.NoContent)
        }
    }

    private suspend fun <V> RoutingCall.respondResult(
        result: Result<V, StoreFailure>,
        success: suspend RoutingCall.(V) -> Unit,
    ) = result.fold(success = { success(it) }, failure = { respondFailure(it) })

    private suspend fun RoutingCall.respondFailure(failure: StoreFailure) = when (failure) {
        StoreFailure.Unavailable -> respond(HttpStatusCode.ServiceUnavailable)
        StoreFailure.Throttled -> respond(HttpStatusCode.TooManyRequests)
        StoreFailure.AnswerLost -> channel().reset()
        is StoreFailure.Conflict ->
            respondJson(ConflictBody(failure.key, failure.current), HttpStatusCode.Conflict)
        is StoreFailure.Malformed -> respond(HttpStatusCode.InternalServerError)
    }

    private suspend inline fun <reified T> RoutingCall.respondJson(
        body: T,
        status: HttpStatusCode = HttpStatusCode.OK,
    ) =
        respondText(Json.encodeToString(body), ContentType.Application.Json, status)

    /** Sets a header that distinguishes an absent object from an unknown path. */
    private suspend fun RoutingCall.respondAbsent() {
        response.header(ABSENT_HEADER, "true")
        respond(HttpStatusCode.NotFound)
    }

    private fun RoutingCall.queryParameter(name: String): String = request.queryParameters[name].orEmpty()

    private fun rowsBody(rows: List<Row>) =
        RowsBody(rows.map { RowBody(it.key, it.version, Base64.getEncoder().encodeToString(it.value)) })

    private fun toRowWrite(body: WriteBody) =
        RowWrite(body.key, body.expected, body.value?.let(Base64.getDecoder()::decode))

    private companion object {
        const val ABSENT_HEADER = "Platform-Absent"
    }
}
