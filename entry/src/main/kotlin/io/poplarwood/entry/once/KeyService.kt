package io.poplarwood.entry.once

import com.github.michaelbull.result.Result
import io.poplarwood.api.id.EntryRef
import io.poplarwood.decision.once.KeyOutcome
import io.poplarwood.decision.once.KeyedRequestActions
import io.poplarwood.decision.once.KeyedRequest
import io.poplarwood.peer.forward.ForwardFailure
import io.poplarwood.peer.message.ForwardHead
import kotlin.time.Duration

/** What the data path needs for requests with idempotency keys. */
interface KeyService {
    /** Takes [request] to the run of an entry that owns its key; [ports] run it here or pass it on. */
    suspend fun handle(request: KeyedRequest, ports: KeyedRequestActions): KeyOutcome

    /** Passes a request with its whole [body] to [owner] and waits at most [timeout] for the answer. */
    suspend fun forward(
        owner: EntryRef,
        head: ForwardHead,
        body: ByteArray,
        timeout: Duration,
    ): Result<KeyOutcome, ForwardFailure>
}
