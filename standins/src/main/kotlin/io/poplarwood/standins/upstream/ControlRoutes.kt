package io.poplarwood.standins.upstream

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.request.receiveText
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import kotlinx.serialization.json.Json
import kotlin.time.Duration.Companion.milliseconds

/** Routes below `/standin` that read and set the faults of [upstream], report its statistics and trigger faults. */
internal fun Route.controlRoutes(upstream: StandInUpstream) {
    get("/faults") { call.respondText(Json.encodeToString(upstream.faults), ContentType.Application.Json) }
    put("/faults") {
        upstream.faults = Json.decodeFromString(call.receiveText())
        call.respond(HttpStatusCode.NoContent)
    }
    get("/stats") { call.respondText(Json.encodeToString(upstream.stats()), ContentType.Application.Json) }
    get("/runs") { call.respondText(Json.encodeToString(upstream.runs()), ContentType.Application.Json) }
    post("/silence") {
        upstream.silenceConnections()
        call.respond(HttpStatusCode.NoContent)
    }
    post("/crash") {
        val downMs = call.request.queryParameters["downMs"]?.toLongOrNull()
        call.respond(HttpStatusCode.NoContent)
        upstream.crash(downMs?.milliseconds)
    }
}
