package io.poplarwood.peer.forward

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.poplarwood.peer.message.ForwardAnswerHead
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job

/** A forwarded request at either side. */
internal class ForwardExchange(val address: String, val bodyReceiver: BodyReceiver, val bodySender: BodySender) {
    /** Head of the answer, at the side that forwards. */
    val replyHead = CompletableDeferred<Result<ForwardAnswerHead, ForwardFailure>>()

    /** What runs for the exchange and ends with it. */
    var job: Job? = null

    /** Ends the exchange early. */
    fun fail() {
        replyHead.complete(Err(ForwardFailure.LOST))
        bodyReceiver.fail()
        job?.cancel()
    }
}
