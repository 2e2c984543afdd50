package io.poplarwood.entry.http

import io.netty.channel.Channel
import io.netty.util.AttributeKey
import io.poplarwood.api.outcome.Refusal
import io.poplarwood.entry.forward.CallerDisconnectedException
import kotlinx.coroutines.Job
import java.util.concurrent.ConcurrentHashMap

/**
 * State of one caller's connection, shared by its event loop and the handlers of its requests.
 *
 * Requests are numbered from 1 in the order in which their heads arrived.
 */
internal class CallerConnection(private val channel: Channel) {
    private val jobs = ConcurrentHashMap<Int, Job>()

    /** Number of the last request whose head was accepted. Written by the event loop. */
    @Volatile
    var lastStarted: Int = 0

    /** Number of the last request whose body arrived in full. Written by the event loop. */
    @Volatile
    var lastComplete: Int = 0

    /** Number of the last request whose response was written in full. Written by the event loop. */
    @Volatile
    var lastAnswered: Int = 0

    /** Why further input on the connection is refused; null while input is accepted. */
    @Volatile
    var inputRefusal: Refusal? = null

    /** Value of [System.nanoTime] when the connection last became idle. Written by the event loop. */
    @Volatile
    var idleSinceNanos: Long = System.nanoTime()

    /** True when part of a request head has arrived. Written by the event loop. */
    @Volatile
    var hasPartialHead: Boolean = false

    /** True when no request has been arriving or in flight for at least [nanos] nanoseconds. */
    fun isIdleFor(nanos: Long): Boolean =
        lastAnswered >= lastStarted && !hasPartialHead && System.nanoTime() - idleSinceNanos >= nanos

    /** True once a response was truncated. No more bytes may be written: a final chunk would mark it as complete. */
    @Volatile
    var aborted: Boolean = false
        private set

    /** Cancels [job] when the caller disconnects before [detach]. */
    fun attach(number: Int, job: Job) {
        jobs[number] = job
        if (!channel.isActive) job.cancel(CallerDisconnectedException())
    }

    /** Stops cancelling the job of request [number] on disconnect. */
    fun detach(number: Int) {
        jobs.remove(number)
    }

    /**
     * Cancels the handlers of all requests without a complete response. A handler whose response is complete runs on,
     * so that the evidence of its attempt is recorded.
     */
    fun cancelUnanswered() {
        for ((number, job) in jobs) if (number > lastAnswered) job.cancel(CallerDisconnectedException())
    }

    /** Closes the connection so that the caller sees a truncated response. */
    fun abort() {
        aborted = true
        channel.close()
    }

    /** Sends `100 Continue`, which asks the caller for the body of its request. */
    fun sendContinue() {
        channel.eventLoop().execute { channel.pipeline().fireUserEventTriggered(SendContinue) }
    }

    /** Event on which [ConnectionGuard] writes `100 Continue`. */
    object SendContinue

    companion object {
        /** Channel attribute that holds the connection. */
        val KEY: AttributeKey<CallerConnection> = AttributeKey.valueOf("poplarwood.caller")
    }
}
