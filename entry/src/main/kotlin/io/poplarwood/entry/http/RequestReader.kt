package io.poplarwood.entry.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.binding
import com.github.michaelbull.result.toResultOr
import io.ktor.http.HttpHeaders
import io.ktor.server.request.ApplicationRequest
import io.ktor.server.request.httpMethod
import io.ktor.server.request.uri
import io.poplarwood.api.http.Headers
import io.poplarwood.api.id.ClassName
import io.poplarwood.api.id.RequestId
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.outcome.Refusal
import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.api.time.Ticker
import io.poplarwood.api.work.ClassSpec
import io.poplarwood.api.work.Rank
import io.poplarwood.api.work.ServiceDocument
import io.poplarwood.decision.dispatch.Call
import io.poplarwood.decision.dispatch.CallId
import io.poplarwood.entry.settings.HttpSettings
import io.poplarwood.peer.message.ForwardHead
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds

/** Reads service, class, deadline, depth and rank from the head of a request. */
internal class RequestReader(
    private val settings: HttpSettings,
    private val documents: (ServiceName) -> ServiceDocument?,
    private val ticker: Ticker,
) {
    private val lastCallId = AtomicLong()

    /** Reads a caller's request; fails with the reason when the request is refused. */
    fun read(request: ApplicationRequest, id: RequestId): Result<InboundRequest, Refusal> =
        binding {
            val host = requirePresent(request.headers[HttpHeaders.Host], RefusalReason.MALFORMED).bind()
            val name = request.headers[Headers.SERVICE] ?: host.substringBefore(':').substringBefore('.')
            val service = ServiceName(name)
            val document = requirePresent(documents(service), RefusalReason.UNKNOWN_SERVICE).bind()
            val workClass = requirePresent(classOf(request, document), RefusalReason.UNKNOWN_CLASS).bind()
            val depth = requirePresent(nonNegativeNumber(request, Headers.DEPTH, 0), RefusalReason.MALFORMED).bind()
            requireThat(depth <= MAX_DEPTH, RefusalReason.DEPTH_EXCEEDED).bind()
            val remaining = nonNegativeNumber(request, Headers.DEADLINE_MS, workClass.deadlineMs).toResultOr {
                Refusal(RefusalReason.MALFORMED)
            }.bind()
            requireThat(remaining > 0, RefusalReason.DEADLINE_PASSED).bind()
            val length = bodyLength(request)
            if (length != null &&
                length > workClass.maxBodyBytes
            ) {
                Err(Refusal(RefusalReason.BODY_TOO_LARGE)).bind<Unit>()
            }
            val call = callOf(request, id, service, workClass, remaining, length)
            val rank = rankOf(request, depth, workClass)
            InboundRequest(service, workClass, call, request.httpMethod.value, request.uri, depth.toInt(), rank, length)
        }

    /** Reads a request that a peer forwarded with its complete body; fails with the reason when it is refused. */
    fun readForwarded(head: ForwardHead, body: ByteArray): Result<InboundRequest, Refusal> = binding {
        val document = requirePresent(documents(head.service), RefusalReason.UNKNOWN_SERVICE).bind()
        val className = head.headers.firstOrNull { it.name == Headers.CLASS }?.value.orEmpty()
        val workClass = requirePresent(document.findClass(ClassName(className)), RefusalReason.UNKNOWN_CLASS).bind()
        requireThat(head.remainingMs > 0, RefusalReason.DEADLINE_PASSED).bind()
        val key = head.headers.firstOrNull { it.name.equals(Headers.IDEMPOTENCY_KEY, ignoreCase = true) }?.value
        val now = ticker.now()
        val call = Call(
            id = CallId(lastCallId.incrementAndGet()),
            request = head.requestId,
            workClass = workClass.name,
            idempotent = false,
            arrived = now,
            deadline = now + head.remainingMs.milliseconds,
            fingerprint = RequestFingerprint.of(head.service.value, head.method, head.target, key),
        )
        val rank = workClass.rank.name.lowercase()
        InboundRequest(head.service, workClass, call, head.method, head.target, 0, rank, body.size.toLong())
    }

    private fun callOf(
        request: ApplicationRequest,
        id: RequestId,
        service: ServiceName,
        workClass: ClassSpec,
        remainingMs: Long,
        length: Long?,
    ): Call {
        val method = request.httpMethod.value
        val now = ticker.now()
        val key = request.headers[Headers.IDEMPOTENCY_KEY]
        return Call(
            id = CallId(lastCallId.incrementAndGet()),
            request = id,
            workClass = workClass.name,
            idempotent = workClass.idempotent ?: (method in IDEMPOTENT_METHODS),
            arrived = now,
            deadline = now + remainingMs.milliseconds,
            replayable = length != null && length <= settings.keptBodyBytes,
            mayRetry = request.headers[Headers.RETRY] != "no",
            fingerprint = RequestFingerprint.of(service.value, method, request.uri, key),
        )
    }

    private fun classOf(request: ApplicationRequest, document: ServiceDocument): ClassSpec? {
        val className = request.headers[Headers.CLASS]
        if (className != null) return document.findClass(ClassName(className))
        return document.classify(request.httpMethod.value, request.uri.substringBefore('?'))
    }

    private fun bodyLength(request: ApplicationRequest): Long? {
        val length = request.headers[HttpHeaders.ContentLength]?.toLongOrNull()
        if (length != null) return length
        return if (request.headers[HttpHeaders.TransferEncoding] == null) 0 else null
    }

    /** Nested calls keep the rank that the first entry of the chain set; the first call has the rank of its class. */
    private fun rankOf(request: ApplicationRequest, depth: Long, workClass: ClassSpec): String {
        val propagated = request.headers[Headers.RANK]?.takeIf { depth > 0 && it in RANKS }
        return propagated ?: workClass.rank.name.lowercase()
    }

    private fun nonNegativeNumber(request: ApplicationRequest, header: String, default: Long): Long? {
        val text = request.headers[header] ?: return default
        return text.toLongOrNull()?.takeIf { it >= 0 }
    }

    private fun <T : Any> requirePresent(value: T?, reason: RefusalReason): Result<T, Refusal> = value.toResultOr {
        Refusal(reason)
    }

    private fun requireThat(condition: Boolean, reason: RefusalReason): Result<Unit, Refusal> =
        if (condition) Ok(Unit) else Err(Refusal(reason))

    private companion object {
        const val MAX_DEPTH = 16
        val RANKS = Rank.entries.map { it.name.lowercase() }.toSet()

        /** Methods that are idempotent by definition (RFC 9110, 9.2.2). */
        val IDEMPOTENT_METHODS = setOf("GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE")
    }
}
