package io.poplarwood.entry.node

import io.poplarwood.decision.once.KeyOutcome
import io.poplarwood.entry.http.CallServer
import io.poplarwood.peer.forward.Body
import io.poplarwood.peer.forward.ForwardResponse
import io.poplarwood.peer.message.ForwardHead
import java.io.ByteArrayOutputStream

/** Handles requests that peers forward to this entry because it owns their idempotency keys. */
internal class ForwardedRequestHandler(
    private val maxBytes: Int,
    private val keys: IdempotencyKeyService,
    private val callServer: () -> CallServer,
) {
    /** Handles the request with [head] and [body]; throws the cause if [body] ends early. */
    suspend fun serve(head: ForwardHead, body: Body): ForwardResponse {
        val bytes = ByteArrayOutputStream()
        for (chunk in body) {
            bytes.write(chunk)
            if (bytes.size() > maxBytes) return keys.reply(KeyOutcome.Refused(IdempotencyKeyService.TOO_LARGE))
        }
        return keys.reply(callServer().serve(head, bytes.toByteArray()))
    }
}
