package io.poplarwood.peer.forward

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.poplarwood.peer.message.ForwardResponseHead
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job

/** State of one forwarded request, at the forwarding entry or at the owner. */
internal class ForwardExchange(val address: String, val bodyReceiver: BodyReceiver, val bodySender: BodySender) {
    /** Head of the response; used by the forwarding entry only. */
    val replyHead = CompletableDeferred<Result<ForwardResponseHead, ForwardFailure>>()

    /** Coroutine of the exchange, cancelled by [fail]. */
    var job: Job? = null

    /** Ends the exchange before it is complete, because the link, the owner or the forwarding entry failed. */
    fun fail() {
        replyHead.complete(Err(ForwardFailure.LOST))
        bodyReceiver.fail()
        job?.cancel()
    }
}
