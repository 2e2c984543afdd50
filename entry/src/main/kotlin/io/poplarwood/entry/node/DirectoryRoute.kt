package io.poplarwood.entry.node

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.response.respondText
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.id.Zone
import io.poplarwood.fleet.FleetRunner
import kotlinx.serialization.json.Json
import kotlin.time.Clock

/** Serves `GET /poplarwood/entries`, which lists the entries that a caller may use. */
internal class DirectoryRoute(
    private val services: ServiceRegistry,
    private val clock: Clock,
    private val fleet: () -> FleetRunner?,
) {
    /** Responds to [call] and returns true if [call] is a directory request; otherwise returns false. */
    suspend fun handle(call: ApplicationCall): Boolean {
        if (call.request.path() != PATH || call.request.httpMethod.value != "GET") return false
        val service = call.request.queryParameters["service"]?.let(::ServiceName)
        val fleetRunner = fleet()
        if (service == null || fleetRunner == null || services[service] == null) {
            call.respondText("", status = HttpStatusCode.NotFound)
            return true
        }
        val zone = call.request.queryParameters["zone"]?.let(::Zone)
        val body = buildResponse(fleetRunner, service, zone, call.request.local.remoteAddress)
        call.respondText(Json.encodeToString(body), ContentType.Application.Json)
        return true
    }

    private suspend fun buildResponse(
        fleetRunner: FleetRunner,
        service: ServiceName,
        zone: Zone?,
        callerAddress: String,
    ): DirectoryBody {
        val selection = fleetRunner.read { entriesFor(service, zone, callerAddress) }
        val issuedAt = clock.now().toEpochMilliseconds().toString(TIMESTAMP_RADIX)
        val entries = selection.entries.map {
            DirectoryEntryBody(it.address, it.zone.value, "${it.keyPrefix}.$issuedAt.")
        }
        return DirectoryBody(service.value, selection.lifetime.inWholeMilliseconds, entries)
    }

    private companion object {
        const val PATH = "/poplarwood/entries"
        const val TIMESTAMP_RADIX = 36
    }
}
