package io.poplarwood.gateway.log

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender

/**
 * Configures the log of a gateway: JSON lines on standard output, written by a separate thread. While standard output
 * is not read, lines are dropped rather than blocking the process. Takes effect only if [enable] is called before the
 * first line is logged. Commands that do not call [enable] use their Logback configuration file, which is slower to
 * load.
 */
object GatewayLogging {
    /** Selects this configuration for the process; must be called before the first line is logged. */
    fun enable() {
        System.setProperty("slf4j.provider", GatewayLogProvider::class.java.name)
        System.setProperty("slf4j.internal.verbosity", "WARN")
    }

    /** Writes the queued lines and stops logging; called at the end of the process. */
    fun flushAndStop() {
        (org.slf4j.LoggerFactory.getILoggerFactory() as? LoggerContext)?.stop()
    }

    internal fun configure(context: LoggerContext) {
        val jsonEncoder = JsonEncoder().apply {
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
        val consoleAppender = ConsoleAppender<ILoggingEvent>().apply {
            this.context = context
            encoder = jsonEncoder
            start()
        }
        val nonBlockingAppender = NonBlockingAppender(consoleAppender).apply {
            this.context = context
            start()
        }
        context.getLogger("ROOT").apply {
            level = Level.WARN
            addAppender(nonBlockingAppender)
        }
        context.getLogger("poplarwood").level = Level.INFO
    }
}
