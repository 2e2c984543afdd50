package io.poplarwood.entry.http

import io.netty.channel.Channel
import io.netty.util.AttributeKey
import io.poplarwood.api.outcome.Refusal
import io.poplarwood.entry.forward.CallerDisconnectedException
import kotlinx.coroutines.Job
import java.util.concurrent.ConcurrentHashMap

/**
 * State of one caller's connection that its event loop and the handlers of its requests share.
 *
 * Requests are numbered from 1 in the order in which their heads arrived.
 */
internal class CallerConnection(private val channel: Channel) {
    private val jobs = ConcurrentHashMap<Int, Job>()

    /** Number of the last request whose head was taken in. Written by the event loop. */
    @Volatile
    var lastStarted: Int = 0

    /** Number of the last request whose body arrived whole. Written by the event loop. */
    @Volatile
    var lastComplete: Int = 0

    /** Number of the last request whose answer was written. Written by the event loop. */
    @Volatile
    var lastAnswered: Int = 0

    /** Why the bytes on the connection can no longer be understood; null while they can. */
    @Volatile
    var inputRefusal: Refusal? = null

    /** Reading of the system's nanosecond clock when the connection last became idle. Written by the event loop. */
    @Volatile
    var idleSinceNanos: Long = System.nanoTime()

    /** True when part of a head has arrived. Written by the event loop. */
    @Volatile
    var hasPartialHead: Boolean = false

    /** True when no request is in flight or arriving and none has been for [nanos]. */
    fun isIdleFor(nanos: Long): Boolean =
        lastAnswered >= lastStarted && !hasPartialHead && System.nanoTime() - idleSinceNanos >= nanos

    /** True once an answer was cut: nothing more may be written, the final chunk least of all. */
    @Volatile
    var aborted: Boolean = false
        private set

    /** Cancels [job] when the caller disconnects before [detach]. */
    fun attach(number: Int, job: Job) {
        jobs[number] = job
        if (!channel.isActive) job.cancel(CallerDisconnectedException())
    }

    /** Ends what [attach] began. */
    fun detach(number: Int) {
        jobs.remove(number)
    }

    /**
     * Cancels the handlers of all requests that have no whole answer yet. A caller that leaves with its answer has not
     * given up, and what the attempt showed must not be lost.
     */
    fun cancelUnanswered() {
        for ((number, job) in jobs) if (number > lastAnswered) job.cancel(CallerDisconnectedException())
    }

    /** Closes the connection so that the caller sees an answer that ends early. */
    fun abort() {
        aborted = true
        channel.close()
    }

    /** Lets the caller of a request with `Expect: 100-continue` send its body. */
    fun sendContinue() {
        channel.eventLoop().execute { channel.pipeline().fireUserEventTriggered(SendContinue) }
    }

    /** Event that makes the guard write `100 Continue`. */
    object SendContinue

    companion object {
        /** Where a channel keeps its connection. */
        val KEY: AttributeKey<CallerConnection> = AttributeKey.valueOf("poplarwood.caller")
    }
}
