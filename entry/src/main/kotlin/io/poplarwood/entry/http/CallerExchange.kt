package io.poplarwood.entry.http

import io.poplarwood.api.outcome.Refusal
import kotlinx.coroutines.Job

/** Request [number] of a caller's [connection]. */
internal class CallerExchange(private val connection: CallerConnection, private val number: Int) {
    /** True when the request's body arrived in full. */
    val isBodyComplete: Boolean get() = connection.lastComplete >= number

    /** Why further input on the connection is refused; null while input is accepted. */
    val inputRefusal: Refusal? get() = connection.inputRefusal

    /** Cancels [job] when the caller disconnects before [detach]. */
    fun attach(job: Job) = connection.attach(number, job)

    /** Stops cancelling the attached job on disconnect. */
    fun detach() = connection.detach(number)

    /** Sends `100 Continue`, which asks the caller for the body of its request. */
    fun sendContinue() = connection.sendContinue()

    /** Closes the connection so that the caller sees a truncated response; the handler of the request runs on. */
    fun abort() {
        detach()
        connection.abort()
    }
}
