package io.poplarwood.entry.http

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respond
import io.ktor.utils.io.readAvailable
import io.poplarwood.api.http.Headers
import io.poplarwood.api.id.ClassName
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.outcome.Refusal
import io.poplarwood.api.time.Ticker
import io.poplarwood.api.work.ClassSpec
import io.poplarwood.api.work.Rank
import io.poplarwood.api.work.ServiceDocument
import io.poplarwood.api.work.Target
import io.poplarwood.decision.dispatch.Call
import io.poplarwood.decision.dispatch.Command
import io.poplarwood.decision.routing.AttemptEvidence
import io.poplarwood.entry.forward.Forwarder
import io.poplarwood.entry.forward.OutboundRequest
import io.poplarwood.entry.forward.RequestBody
import io.poplarwood.entry.runtime.CallRunner
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import java.util.UUID
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A service that exists only inside one entry, whose upstream is the entry's own listener. Its random names cannot be
 * guessed, so that callers cannot reach it.
 */
internal class WarmUp(private val forwarder: Forwarder, private val ticker: Ticker) : CallRunner {
    private val service = ServiceName("warm-" + UUID.randomUUID())
    private val secret = UUID.randomUUID().toString()

    @Volatile
    private var address = ""

    private val document =
        ServiceDocument(
            service = service,
            classes = listOf(ClassSpec(CLASS, Rank.BACKGROUND, Target(keepShare = 0.0), deadlineMs = 2_000)),
            defaultClass = CLASS,
        )

    /** [documents] and the own one. */
    fun documents(documents: (ServiceName) -> ServiceDocument?): (ServiceName) -> ServiceDocument? =
        { if (it == service) document else documents(it) }

    /** [runners] and the own one. */
    fun runners(runners: (ServiceName) -> CallRunner?): (ServiceName) -> CallRunner? =
        { if (it == service) this else runners(it) }

    override suspend fun run(call: Call, attempt: suspend (Command.Dispatch) -> AttemptEvidence): Refusal? {
        attempt(Command.Dispatch(call.id, 1, UpstreamId(address, secret)))
        return null
    }

    /** Answers a request of the own service that came back as its upstream; false for every other request. */
    suspend fun answer(call: ApplicationCall): Boolean {
        // The second hop has a depth of 1 and the secret; the first one has the secret only.
        if (call.request.headers[SECRET] != secret || call.request.headers[Headers.DEPTH] != "1") return false
        val body = call.request.receiveChannel()
        val buffer = ByteArray(BODY_BYTES)
        while (body.readAvailable(buffer, 0, buffer.size) >= 0) Unit
        call.respond(BufferedResponse(HttpStatusCode.OK, ANSWER))
        return true
    }

    /** Sends requests through the listener at [port] until [limit] is over; returns how many were answered. */
    suspend fun run(port: Int, limit: Duration): Int {
        address = "127.0.0.1:$port"
        val end = ticker.now() + limit
        return coroutineScope { (1..CALLERS).map { async { caller(end) } }.awaitAll().sum() }
    }

    private suspend fun caller(end: Duration): Int {
        var answered = 0
        for (n in 0 until CALLS) {
            if (ticker.now() >= end) break
            forwarder.send(outbound(n)) { answer ->
                val buffer = ByteArray(BODY_BYTES)
                while (answer.body.readAvailable(buffer, 0, buffer.size) >= 0) Unit
                answered++
            }
        }
        return answered
    }

    private fun outbound(n: Int): OutboundRequest {
        val get = n % 2 == 0
        val body =
            when {
                get -> RequestBody.None
                n % STREAMED == 1 -> RequestBody.Arriving(null) { upload, _ -> upload.send(ANSWER, ANSWER.size) }
                else -> RequestBody.Kept(ANSWER)
            }
        return OutboundRequest(
            address = address,
            method = if (get) "GET" else "POST",
            target = "/warm-up?n=$n",
            host = service.value,
            headers = listOf(Headers.SERVICE to service.value, SECRET to secret),
            body = body,
            recentOnly = !get,
            latencyKey = service.value,
            deadline = ticker.now() + DEADLINE,
        )
    }

    private companion object {
        const val SECRET = "Poplarwood-Warm-Up"
        const val CALLERS = 8
        const val CALLS = 1_500
        const val STREAMED = 8
        const val BODY_BYTES = 4096
        val CLASS = ClassName("warm-up")
        val ANSWER = ByteArray(256) { 'x'.code.toByte() }
        val DEADLINE = 2_000.milliseconds
    }
}
