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
import io.poplarwood.decision.routing.AttemptObservation
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
 * Sends requests through the entry's whole request path to warm up its code.
 *
 * The requests go to a service that exists only inside this entry and whose upstream is the entry's own listener. Its
 * name and secret are random, so that callers cannot reach it.
 */
internal class WarmUp(private val forwarder: Forwarder, private val ticker: Ticker) : CallRunner {
    private val service = ServiceName("warm-" + UUID.randomUUID())
    private val secret = UUID.randomUUID().toString()

    @Volatile
    private var address = ""

    private val document =
        ServiceDocument(
            service = service,
            classes = listOf(ClassSpec(CLASS_NAME, Rank.BACKGROUND, Target(keepShare = 0.0), deadlineMs = 2_000)),
            defaultClass = CLASS_NAME,
        )

    /** [documents], extended by the document of the warm-up service. */
    fun withOwnDocument(documents: (ServiceName) -> ServiceDocument?): (ServiceName) -> ServiceDocument? =
        { if (it == service) document else documents(it) }

    /** [runners], extended by the runner of the warm-up service. */
    fun withOwnRunner(runners: (ServiceName) -> CallRunner?): (ServiceName) -> CallRunner? =
        { if (it == service) this else runners(it) }

    override suspend fun run(call: Call, attempt: suspend (Command.Dispatch) -> AttemptObservation): Refusal? {
        attempt(Command.Dispatch(call.id, 1, UpstreamId(address, secret)))
        return null
    }

    /** Responds to a warm-up request that reached the entry as its upstream; false for every other request. */
    suspend fun answerOwnRequest(call: ApplicationCall): Boolean {
        // The hop to the upstream has the secret and a depth of 1; the hop from the caller has the secret only.
        if (call.request.headers[SECRET_HEADER] != secret || call.request.headers[Headers.DEPTH] != "1") return false
        val body = call.request.receiveChannel()
        val buffer = ByteArray(BUFFER_BYTES)
        while (body.readAvailable(buffer, 0, buffer.size) >= 0) Unit
        call.respond(BufferedResponse(HttpStatusCode.OK, PAYLOAD))
        return true
    }

    /**
     * Sends requests through the listener at [port] for at most [limit].
     *
     * @return number of requests that got a response
     */
    suspend fun run(port: Int, limit: Duration): Int {
        address = "127.0.0.1:$port"
        val end = ticker.now() + limit
        return coroutineScope { (1..CALLERS).map { async { sendRequests(end) } }.awaitAll().sum() }
    }

    private suspend fun sendRequests(end: Duration): Int {
        var answered = 0
        for (n in 0 until REQUESTS_PER_CALLER) {
            if (ticker.now() >= end) break
            forwarder.send(outboundRequest(n)) { response ->
                val buffer = ByteArray(BUFFER_BYTES)
                while (response.body.readAvailable(buffer, 0, buffer.size) >= 0) Unit
                answered++
            }
        }
        return answered
    }

    private fun outboundRequest(n: Int): OutboundRequest {
        val get = n % 2 == 0
        val body =
            when {
                get -> RequestBody.None
                n % STREAMED_EVERY == 1 -> RequestBody.Streaming(null) { upload, _ ->
                    upload.send(PAYLOAD, PAYLOAD.size)
                }
                else -> RequestBody.Buffered(PAYLOAD)
            }
        return OutboundRequest(
            address = address,
            method = if (get) "GET" else "POST",
            target = "/warm-up?n=$n",
            host = service.value,
            headers = listOf(Headers.SERVICE to service.value, SECRET_HEADER to secret),
            body = body,
            recentConnectionOnly = !get,
            latencyKey = service.value,
            deadline = ticker.now() + REQUEST_TIMEOUT,
        )
    }

    private companion object {
        const val SECRET_HEADER = "Poplarwood-Warm-Up"
        const val CALLERS = 8
        const val REQUESTS_PER_CALLER = 1_500
        const val STREAMED_EVERY = 8
        const val BUFFER_BYTES = 4096
        val CLASS_NAME = ClassName("warm-up")
        val PAYLOAD = ByteArray(256) { 'x'.code.toByte() }
        val REQUEST_TIMEOUT = 2_000.milliseconds
    }
}
