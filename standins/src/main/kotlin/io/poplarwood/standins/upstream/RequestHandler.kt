package io.poplarwood.standins.upstream

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receiveChannel
import io.ktor.server.request.uri
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.RoutingCall
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeFully
import io.poplarwood.api.http.Headers
import io.poplarwood.standins.net.channel
import io.poplarwood.standins.net.reset
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import java.io.IOException
import java.security.MessageDigest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Simulates processing a request: acquires a slot, reads the body, waits for the service time and responds. */
internal class RequestHandler(
    private val options: UpstreamOptions,
    private val slotLimiter: SlotLimiter,
    private val serviceTimes: ServiceTimeSampler,
    private val statistics: RequestStatistics,
    private val reports: UpstreamReports,
    private val address: () -> String,
    private val crash: () -> Unit,
) {
    suspend fun handle(call: RoutingCall) {
        val faults = reports.faults
        when {
            faults.draining -> {
                statistics.drained.incrementAndGet()
                refuse(call, "draining")
            }
            faults.failFast -> call.respond(HttpStatusCode.InternalServerError)
            !acquireSlot(call) -> {
                statistics.shed.incrementAndGet()
                refuse(call, "busy")
            }
            else -> try {
                cancelOnClose(call) { runRequest(call, faults) }
            } finally {
                slotLimiter.release()
            }
        }
    }

    /** Acquires a slot; when requests are queued, waiting ends with the connection of the call. */
    private suspend fun acquireSlot(call: RoutingCall): Boolean =
        if (options.maxQueued == 0) slotLimiter.acquire() else cancelOnClose(call) { slotLimiter.acquire() }

    /** Runs [block] and cancels it when the connection closes, as an upstream that supports cancellation does. */
    private suspend fun <T> cancelOnClose(call: RoutingCall, block: suspend () -> T): T = coroutineScope {
        val task = async { block() }
        call.channel().closeFuture().addListener { task.cancel() }
        task.await()
    }

    private suspend fun runRequest(call: RoutingCall, faults: UpstreamFaults) {
        statistics.started.incrementAndGet()
        try {
            val timeout = call.request.headers[Headers.DEADLINE_MS]?.toLongOrNull()?.milliseconds ?: Duration.INFINITE
            val answer = withTimeoutOrNull(timeout) { processRequest(call, faults) }
            if (answer == null) {
                statistics.deadlines.incrementAndGet()
                call.respond(HttpStatusCode.GatewayTimeout)
                return
            }
            sendAnswer(call, answer)
            statistics.completed.incrementAndGet()
        } catch (e: CancellationException) {
            statistics.cancelled.incrementAndGet()
            throw e
        }
    }

    private suspend fun processRequest(call: RoutingCall, faults: UpstreamFaults): RunResponse {
        val upload = readBody(call)
        val run = statistics.recordRun(call.request.headers[Headers.IDEMPOTENCY_KEY])
        val fixedTime = call.request.headers[StandInHeaders.WORK_MS]?.toDoubleOrNull()?.milliseconds
        val serviceTime = serviceTimes.sample(fixedTime, reports.faults.slowFactor)
        val crashAfter = crashAfter(call, faults, serviceTime)
        if (crashAfter != null) {
            delay(crashAfter)
            crash()
        }
        delay(serviceTime)
        currentCoroutineContext().ensureActive()
        return RunResponse(
            upstream = address(),
            token = call.request.headers[StandInHeaders.TOKEN],
            method = call.request.httpMethod.value,
            path = call.request.uri,
            bodyBytes = upload.bytes,
            bodyDigest = upload.digest,
            run = run,
        )
    }

    private fun crashAfter(call: RoutingCall, faults: UpstreamFaults, serviceTime: Duration): Duration? {
        val requestedDelay = call.request.headers[StandInHeaders.CRASH]?.toLongOrNull()
        if (requestedDelay != null) return requestedDelay.milliseconds
        val path = faults.crashPath ?: return null
        return if (call.request.uri.contains(path)) serviceTime else null
    }

    private suspend fun readBody(call: RoutingCall): Upload {
        val digest = MessageDigest.getInstance("SHA-256")
        val buffer = ByteArray(Pattern.CHUNK_BYTES)
        var totalBytes = 0L
        try {
            val body = call.receiveChannel()
            while (true) {
                val read = body.readAvailable(buffer)
                if (read < 0) break
                digest.update(buffer, 0, read)
                totalBytes += read
            }
        } catch (e: IOException) {
            statistics.cutUploads.incrementAndGet()
            throw e
        }
        val declared = call.request.headers["Content-Length"]?.toLongOrNull() ?: totalBytes
        if (declared != totalBytes) {
            statistics.cutUploads.incrementAndGet()
            throw IOException("body ended after $totalBytes of $declared bytes")
        }
        return Upload(totalBytes, digest.digest().toHexString())
    }

    private suspend fun sendAnswer(call: RoutingCall, answer: RunResponse) {
        call.response.header(Headers.LOAD, reports.loadHeader())
        val status = HttpStatusCode.fromValue(call.request.headers[StandInHeaders.STATUS]?.toIntOrNull() ?: 200)
        val bytes = call.request.headers[StandInHeaders.ANSWER_BYTES]?.toLongOrNull()
        if (bytes == null) {
            call.respondText(Json.encodeToString(answer), ContentType.Application.Json, status)
            return
        }
        val cutAt = call.request.headers[StandInHeaders.CUT_ANSWER_AT]?.toLongOrNull()
        call.respondBytesWriter(ContentType.Application.OctetStream, status, bytes) {
            var position = 0L
            while (position < (cutAt ?: bytes)) {
                val chunk = minOf(Pattern.CHUNK_BYTES.toLong(), (cutAt ?: bytes) - position).toInt()
                writeFully(Pattern.bytes(answer.token.orEmpty(), position, chunk))
                position += chunk
            }
            flush()
            if (cutAt != null) {
                delay(RESET_DELAY)
                call.channel().reset()
            }
        }
    }

    private suspend fun refuse(call: RoutingCall, reason: String) {
        call.response.header(Headers.NOT_RUN, reason)
        call.response.header(Headers.LOAD, reports.loadHeader())
        call.respond(HttpStatusCode.ServiceUnavailable)
    }

    private class Upload(val bytes: Long, val digest: String)

    private companion object {
        /** Time for the written bytes to leave the socket before the reset, which would discard them. */
        val RESET_DELAY = 20.milliseconds
    }
}
