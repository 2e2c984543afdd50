package io.poplarwood.gateway.log

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender

/**
 * Sets the log of a gateway up: JSON lines on standard output, written by a thread of their own, and dropped rather
 * than waited for when nobody reads them. Takes effect when [enable] is called before the first line; other commands
 * keep their configuration file, which takes longer to read.
 */
object GatewayLogging {
    /** Makes this process log as a gateway; called before the first line. */
    fun enable() {
        System.setProperty("slf4j.provider", GatewayLogProvider::class.java.name)
        System.setProperty("slf4j.internal.verbosity", "WARN")
    }

    /** Writes out what is queued. */
    fun flush() {
        (org.slf4j.LoggerFactory.getILoggerFactory() as? LoggerContext)?.stop()
    }

    internal fun configure(context: LoggerContext) {
        val lines = JsonEncoder().apply {
            this.context = context
            setWithSequenceNumber(false)
            setWithNanoseconds(false)
            setWithThreadName(false)
            setWithLoggerName(false)
            setWithContext(false)
            setWithMDC(false)
            setWithArguments(false)
            start()
        }
        val console = ConsoleAppender<ILoggingEvent>().apply {
            this.context = context
            encoder = lines
            start()
        }
        val queue = NonBlockingAppender(console).apply {
            this.context = context
            start()
        }
        context.getLogger("ROOT").apply {
            level = Level.WARN
            addAppender(queue)
        }
        context.getLogger("poplarwood").level = Level.INFO
    }
}
