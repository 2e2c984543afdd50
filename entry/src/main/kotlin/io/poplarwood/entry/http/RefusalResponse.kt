package io.poplarwood.entry.http

import io.ktor.http.HttpHeaders
import io.poplarwood.api.http.Headers
import io.poplarwood.api.id.RequestId
import io.poplarwood.api.outcome.Refusal
import kotlinx.serialization.json.Json

/** HTTP form of a refusal. */
internal class RefusalResponse(refusal: Refusal, id: RequestId) {
    private val reason = refusal.reason
    private val retryAfterMs = refusal.retryAfter?.inWholeMilliseconds

    val status: Int = reason.status

    /** Headers that name the outcome and its reason, with the content type. */
    val headers: List<Pair<String, String>> =
        buildList {
            add(HttpHeaders.ContentType to "application/json")
            add(Headers.OUTCOME to reason.kind.wire)
            add(Headers.REASON to reason.wire)
            add(Headers.REQUEST_ID to id.value)
            if (retryAfterMs != null) {
                add(HttpHeaders.RetryAfter to ((retryAfterMs + MS_PER_SECOND - 1) / MS_PER_SECOND).toString())
                add(Headers.RETRY_AFTER_MS to retryAfterMs.toString())
            }
        }

    val body: ByteArray =
        Json.encodeToString(
            RefusalBody.serializer(),
            RefusalBody(reason.kind.wire, reason.wire, id.value, retryAfterMs),
        )
            .encodeToByteArray()

    private companion object {
        const val MS_PER_SECOND = 1_000L
    }
}
