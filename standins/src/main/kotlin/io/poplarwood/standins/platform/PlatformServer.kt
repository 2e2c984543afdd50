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

/** Serves [platform] over HTTP on loopback; port 0 takes a free one. */
class PlatformServer(private val platform: StandInPlatform, private val port: Int = 0) {
    private val server = LoopbackServer(port) { serve() }

    /** `ip:port` once started. */
    lateinit var address: String
        private set

    /** Starts to listen. */
    suspend fun start(): PlatformServer {
        address = "$LOOPBACK:${server.start()}"
        return this
    }

    /** Closes the listening socket and all connections. */
    suspend fun stop(): Unit = server.stop()

    private fun Application.serve() {
        routing {
            tableRoutes()
            objectRoutes()
            get("/vms") { call.answer(platform.vms.list()) { json(it) } }
            controlRoutes()
        }
    }

    private fun Route.tableRoutes() {
        get("/table/row") {
            val rows = platform.table.read(call.query("key")).map { listOfNotNull(it) }
            call.answer(rows) { json(body(it)) }
        }
        get("/table/rows") {
            val limit = call.query("limit").toIntOrNull() ?: 0
            call.answer(platform.table.scan(call.query("prefix"), call.query("after"), limit)) { json(body(it)) }
        }
        post("/table/transactions") {
            val writes = Json.decodeFromString<TransactionBody>(call.receiveText()).writes.map(::rowWrite)
            call.answer(platform.table.transact(writes)) { respond(HttpStatusCode.NoContent) }
        }
    }

    private fun Route.objectRoutes() {
        put("/objects") {
            val bytes = call.receive<ByteArray>()
            call.answer(platform.objects.put(call.query("name"), bytes)) { respond(HttpStatusCode.NoContent) }
        }
        get("/objects") {
            call.answer(platform.objects.get(call.query("name"))) { bytes ->
                if (bytes == null) absent() else respondBytes(bytes, ContentType.Application.OctetStream)
            }
        }
    }

    private fun Route.controlRoutes() {
        get("/control/faults") { call.json(platform.faults) }
        put("/control/faults") {
            platform.faults = Json.decodeFromString(call.receiveText())
            call.respond(HttpStatusCode.NoContent)
        }
        get("/control/counts") { call.json(platform.counts()) }
        put("/control/vms") {
            platform.setVms(Json.decodeFromString<List<VmRecord>>(call.receiveText()))
            call.respond(HttpStatusCode.NoContent)
        }
    }

    private suspend fun <V> RoutingCall.answer(
        result: Result<V, StoreFailure>,
        success: suspend RoutingCall.(V) -> Unit,
    ) = result.fold(success = { success(it) }, failure = { fail(it) })

    private suspend fun RoutingCall.fail(failure: StoreFailure) = when (failure) {
        StoreFailure.Unavailable -> respond(HttpStatusCode.ServiceUnavailable)
        StoreFailure.Throttled -> respond(HttpStatusCode.TooManyRequests)
        StoreFailure.AnswerLost -> channel().reset()
        is StoreFailure.Conflict ->
            json(ConflictBody(failure.key, failure.current), HttpStatusCode.Conflict)
        is StoreFailure.Malformed -> respond(HttpStatusCode.InternalServerError)
    }

    private suspend inline fun <reified T> RoutingCall.json(body: T, status: HttpStatusCode = HttpStatusCode.OK) =
        respondText(Json.encodeToString(body), ContentType.Application.Json, status)

    /** The header tells an absent object from a path that does not exist. */
    private suspend fun RoutingCall.absent() {
        response.header(ABSENT, "true")
        respond(HttpStatusCode.NotFound)
    }

    private fun RoutingCall.query(name: String): String = request.queryParameters[name].orEmpty()

    private fun body(rows: List<Row>) =
        RowsBody(rows.map { RowBody(it.key, it.version, Base64.getEncoder().encodeToString(it.value)) })

    private fun rowWrite(body: WriteBody) =
        RowWrite(body.key, body.expected, body.value?.let(Base64.getDecoder()::decode))

    private companion object {
        const val ABSENT = "Platform-Absent"
    }
}
