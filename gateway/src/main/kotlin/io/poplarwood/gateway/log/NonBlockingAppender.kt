package io.poplarwood.gateway.log

import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.Appender
import ch.qos.logback.core.UnsynchronizedAppenderBase
import java.util.concurrent.ArrayBlockingQueue
import kotlin.concurrent.thread

/**
 * Passes log events to [target] on a separate thread and drops those that find the queue full. Replaces Logback's
 * `AsyncAppender`, which links code at run time while the process starts.
 */
internal class NonBlockingAppender(
    private val target: Appender<ILoggingEvent>,
) : UnsynchronizedAppenderBase<ILoggingEvent>() {
    private val events = ArrayBlockingQueue<ILoggingEvent>(MAX_QUEUED_EVENTS)
    private var writerThread: Thread? = null

    override fun start() {
        super.start()
        writerThread = thread(isDaemon = true, name = "log") { writeEvents() }
    }

    /** Waits until all queued events have been written, at most [STOP_TIMEOUT_MS], and stops [target]. */
    override fun stop() {
        super.stop()
        writerThread?.interrupt()
        writerThread?.join(STOP_TIMEOUT_MS)
        target.stop()
    }

    override fun append(event: ILoggingEvent) {
        events.offer(event)
    }

    private fun writeEvents() {
        try {
            while (isStarted) target.doAppend(events.take())
        } catch (e: InterruptedException) {
            // Interrupted by stop(): the remaining events are written below.
        }
        while (true) target.doAppend(events.poll() ?: return)
    }

    private companion object {
        const val MAX_QUEUED_EVENTS = 2_000
        const val STOP_TIMEOUT_MS = 1_000L
    }
}
