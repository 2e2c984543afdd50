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

/** Runs requests in slots and answers what it ran. */
internal class RequestHandler(
    private val options: UpstreamOptions,
    private val gate: SlotLimiter,
    private val times: ServiceTimeSampler,
    private val log: RequestStatistics,
    private val reports: UpstreamReports,
    private val address: () -> String,
    private val crash: () -> Unit,
) {
    suspend fun handle(call: RoutingCall) {
        val faults = reports.faults
        when {
            faults.draining -> {
                log.drained.incrementAndGet()
                shed(call, "draining")
            }
            faults.failFast -> call.respond(HttpStatusCode.InternalServerError)
            !enter(call) -> {
                log.shed.incrementAndGet()
                shed(call, "busy")
            }
            else -> try {
                untilClosed(call) { run(call, faults) }
            } finally {
                gate.leave()
            }
        }
    }

    /** Waits for a slot no longer than the connection lives, where the upstream queues. */
    private suspend fun enter(call: RoutingCall): Boolean =
        if (options.queueLimit == 0) gate.enter() else untilClosed(call) { gate.enter() }

    /** Runs [block] and cancels it when the connection closes, as an upstream that accepts cancellation does. */
    private suspend fun <T> untilClosed(call: RoutingCall, block: suspend () -> T): T = coroutineScope {
        val work = async { block() }
        call.channel().closeFuture().addListener { work.cancel() }
        work.await()
    }

    private suspend fun run(call: RoutingCall, faults: UpstreamFaults) {
        log.started.incrementAndGet()
        try {
            val limit = call.request.headers[Headers.DEADLINE_MS]?.toLongOrNull()?.milliseconds ?: Duration.INFINITE
            val answer = withTimeoutOrNull(limit) { work(call, faults) }
            if (answer == null) {
                log.deadlines.incrementAndGet()
                call.respond(HttpStatusCode.GatewayTimeout)
                return
            }
            respond(call, answer)
            log.completed.incrementAndGet()
        } catch (e: CancellationException) {
            log.cancelled.incrementAndGet()
            throw e
        }
    }

    private suspend fun work(call: RoutingCall, faults: UpstreamFaults): RunAnswer {
        val upload = receive(call)
        val run = log.ran(call.request.headers[Headers.IDEMPOTENCY_KEY])
        val base = call.request.headers[StandInHeaders.WORK_MS]?.toDoubleOrNull()?.milliseconds
        val time = times.next(base, reports.faults.slowFactor)
        val crashAfter = crashAfter(call, faults, time)
        if (crashAfter != null) {
            delay(crashAfter)
            crash()
        }
        delay(time)
        currentCoroutineContext().ensureActive()
        return RunAnswer(
            upstream = address(),
            token = call.request.headers[StandInHeaders.TOKEN],
            method = call.request.httpMethod.value,
            path = call.request.uri,
            bodyBytes = upload.bytes,
            bodyDigest = upload.digest,
            run = run,
        )
    }

    private fun crashAfter(call: RoutingCall, faults: UpstreamFaults, time: Duration): Duration? {
        val marked = call.request.headers[StandInHeaders.CRASH]?.toLongOrNull()
        if (marked != null) return marked.milliseconds
        val path = faults.crashPath ?: return null
        return if (call.request.uri.contains(path)) time else null
    }

    private suspend fun receive(call: RoutingCall): Upload {
        val digest = MessageDigest.getInstance("SHA-256")
        val buffer = ByteArray(Pattern.CHUNK)
        var total = 0L
        try {
            val body = call.receiveChannel()
            while (true) {
                val read = body.readAvailable(buffer)
                if (read < 0) break
                digest.update(buffer, 0, read)
                total += read
            }
        } catch (e: IOException) {
            log.cutUploads.incrementAndGet()
            throw e
        }
        val announced = call.request.headers["Content-Length"]?.toLongOrNull() ?: total
        if (announced != total) {
            log.cutUploads.incrementAndGet()
            throw IOException("body ended after $total of $announced bytes")
        }
        return Upload(total, digest.digest().toHexString())
    }

    private suspend fun respond(call: RoutingCall, answer: RunAnswer) {
        call.response.header(Headers.LOAD, reports.header())
        val status = HttpStatusCode.fromValue(call.request.headers[StandInHeaders.STATUS]?.toIntOrNull() ?: 200)
        val bytes = call.request.headers[StandInHeaders.ANSWER_BYTES]?.toLongOrNull()
        if (bytes == null) {
            call.respondText(Json.encodeToString(answer), ContentType.Application.Json, status)
            return
        }
        val cutAt = call.request.headers[StandInHeaders.CUT_ANSWER_AT]?.toLongOrNull()
        call.respondBytesWriter(ContentType.Application.OctetStream, status, bytes) {
            var at = 0L
            while (at < (cutAt ?: bytes)) {
                val chunk = minOf(Pattern.CHUNK.toLong(), (cutAt ?: bytes) - at).toInt()
                writeFully(Pattern.bytes(answer.token.orEmpty(), at, chunk))
                at += chunk
            }
            flush()
            if (cutAt != null) {
                delay(CUT_DELAY)
                call.channel().reset()
            }
        }
    }

    private suspend fun shed(call: RoutingCall, why: String) {
        call.response.header(Headers.NOT_RUN, why)
        call.response.header(Headers.LOAD, reports.header())
        call.respond(HttpStatusCode.ServiceUnavailable)
    }

    private class Upload(val bytes: Long, val digest: String)

    private companion object {
        /** Lets the bytes before the cut leave the socket; a reset at once would discard them. */
        val CUT_DELAY = 20.milliseconds
    }
}
