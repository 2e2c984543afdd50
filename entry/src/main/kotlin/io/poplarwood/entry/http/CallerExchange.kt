package io.poplarwood.entry.http

import io.poplarwood.api.outcome.Refusal
import kotlinx.coroutines.Job

/** Request [number] of a caller's [connection]. */
internal class CallerExchange(private val connection: CallerConnection, private val number: Int) {
    /** True when the body arrived to its end. */
    val isBodyComplete: Boolean get() = connection.lastComplete >= number

    /** Why the bytes on the connection can no longer be understood; null while they can. */
    val inputRefusal: Refusal? get() = connection.inputRefusal

    /** Cancels [job] when the caller disconnects before [detach]. */
    fun attach(job: Job) = connection.attach(number, job)

    /** Ends what [attach] began. */
    fun detach() = connection.detach(number)

    /** Lets the caller of a request with `Expect: 100-continue` send its body. */
    fun sendContinue() = connection.sendContinue()

    /** Closes the connection so that the caller sees an answer that ends early; the handler of the request runs on. */
    fun abort() {
        detach()
        connection.abort()
    }
}
