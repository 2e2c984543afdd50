package io.poplarwood.entry.operator

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.poplarwood.api.id.RequestId
import io.poplarwood.api.work.ServiceDocument
import io.poplarwood.entry.settings.CommentedJson
import kotlinx.serialization.SerializationException

private const val DEFAULT_HISTORY_LIMIT = 50
private const val MAX_HISTORY_LIMIT = 1_000

internal fun Route.operatorRoutes(backend: OperatorBackend) {
    get("/v1/classes") { call.respondJson(backend.classes()) }
    put("/v1/classes/{service}") { call.handleChange(backend) }
    get("/v1/classes/history") { call.handleHistory(backend) }
    get("/v1/status") { call.respondJson(backend.status()) }
    get("/v1/explain/{request}") {
        val report = backend.explain(RequestId(call.parameters["request"].orEmpty()))
        if (report == null) {
            call.fail(HttpStatusCode.NotFound, "this entry has no record of the request")
        } else {
            call.respondJson(report)
        }
    }
    post("/v1/automation/pause") { call.handleAutomation(backend, paused = true) }
    post("/v1/automation/resume") { call.handleAutomation(backend, paused = false) }
    get("/metrics") { call.respondText(backend.metrics(), ContentType.Text.Plain) }
    get(OperatorServer.READY_PATH) {
        val readiness = backend.readiness()
        call.respondJson(readiness, if (readiness.ready) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable)
    }
}

private suspend fun RoutingCall.handleChange(backend: OperatorBackend) {
    val expectedVersion = request.queryParameters["expectVersion"]?.toLongOrNull()
        ?: return fail(HttpStatusCode.BadRequest, "expectVersion must be a whole number")
    val document = try {
        CommentedJson.decodeFromString<ServiceDocument>(receiveText())
    } catch (e: SerializationException) {
        return fail(HttpStatusCode.BadRequest, e.message.orEmpty().lineSequence().first())
    }
    if (document.service.value != parameters["service"]) {
        return fail(HttpStatusCode.BadRequest, "the document is for service ${document.service}")
    }
    val wait = request.queryParameters["wait"] == "true"
    val outcome = backend.change(
        OperatorChangeRequest(document, expectedVersion, wait, attributes[OperatorServer.OPERATOR_NAME]),
    )
    respondJson<ChangeOutcome>(outcome, HttpStatusCode.fromValue(outcome.status))
}

private suspend fun RoutingCall.handleHistory(backend: OperatorBackend) {
    val limit = request.queryParameters["limit"]?.toIntOrNull() ?: DEFAULT_HISTORY_LIMIT
    val rows = backend.history(limit.coerceIn(1, MAX_HISTORY_LIMIT))
    if (rows == null) fail(HttpStatusCode.ServiceUnavailable, "the store does not answer") else respondJson(rows)
}

private suspend fun RoutingCall.handleAutomation(backend: OperatorBackend, paused: Boolean) {
    val state = backend.setAutomationPaused(paused, attributes[OperatorServer.OPERATOR_NAME])
    if (state == null) fail(HttpStatusCode.ServiceUnavailable, "the change was not taken") else respondJson(state)
}

private suspend fun RoutingCall.fail(status: HttpStatusCode, error: String) =
    respondJson(OperatorError(error), status)
