package io.poplarwood.gateway.log

import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.Appender
import ch.qos.logback.core.UnsynchronizedAppenderBase
import java.util.concurrent.ArrayBlockingQueue
import kotlin.concurrent.thread

/**
 * Hands lines to [target] on a thread of its own; a line that finds the queue full is dropped. Logback's own queue does
 * the same, but links code at run time while it starts.
 */
internal class NonBlockingAppender(
    private val target: Appender<ILoggingEvent>,
) : UnsynchronizedAppenderBase<ILoggingEvent>() {
    private val lines = ArrayBlockingQueue<ILoggingEvent>(MOST_LINES)
    private var writer: Thread? = null

    override fun start() {
        super.start()
        writer = thread(isDaemon = true, name = "log") { write() }
    }

    /** Ends the thread once all lines are written, or after a while. */
    override fun stop() {
        super.stop()
        writer?.interrupt()
        writer?.join(LONGEST_STOP_MS)
        target.stop()
    }

    override fun append(event: ILoggingEvent) {
        lines.offer(event)
    }

    private fun write() {
        try {
            while (isStarted) target.doAppend(lines.take())
        } catch (e: InterruptedException) {
            // The queue was stopped; what is left is written below.
        }
        while (true) target.doAppend(lines.poll() ?: return)
    }

    private companion object {
        const val MOST_LINES = 2_000
        const val LONGEST_STOP_MS = 1_000L
    }
}
