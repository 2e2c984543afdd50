package io.poplarwood.entry.once

import com.github.michaelbull.result.Result
import io.poplarwood.api.id.EntryRef
import io.poplarwood.decision.once.KeyOutcome
import io.poplarwood.decision.once.KeyedRequest
import io.poplarwood.decision.once.KeyedRequestActions
import io.poplarwood.peer.forward.ForwardFailure
import io.poplarwood.peer.message.ForwardHead
import kotlin.time.Duration

/** Deduplication of requests with idempotency keys, as the HTTP server uses it. */
interface KeyService {
    /** Has [request] run at the entry incarnation that owns its key; [ports] run the request here or forward it. */
    suspend fun handle(request: KeyedRequest, ports: KeyedRequestActions): KeyOutcome

    /** Forwards a request with its complete [body] to [owner] and waits at most [timeout] for the outcome. */
    suspend fun forward(
        owner: EntryRef,
        head: ForwardHead,
        body: ByteArray,
        timeout: Duration,
    ): Result<KeyOutcome, ForwardFailure>
}
