package io.poplarwood.gateway.log

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.spi.ContextAwareBase

/**
 * Sets the log of a gateway up: JSON lines on standard output, written by a thread of their own, and dropped rather
 * than waited for when nobody reads them. Takes effect when [ENABLED] is set before the first line; other commands keep
 * their configuration file, which takes longer to read.
 */
class GatewayLogging :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): Configurator.ExecutionStatus {
        if (!enabled) return Configurator.ExecutionStatus.INVOKE_NEXT_IF_ANY
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
        val queue = AsyncAppender().apply {
            this.context = context
            queueSize = QUEUE_LINES
            discardingThreshold = 0
            isNeverBlock = true
            addAppender(console)
            start()
        }
        context.getLogger("ROOT").apply {
            level = Level.WARN
            addAppender(queue)
        }
        context.getLogger("poplarwood").level = Level.INFO
        return Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    companion object {
        private const val QUEUE_LINES = 2_000
        private var enabled = false

        /** Makes this process log as a gateway; called before the first line. */
        fun enable() {
            enabled = true
        }

        /** Writes out what is queued. */
        fun flush() {
            (org.slf4j.LoggerFactory.getILoggerFactory() as? LoggerContext)?.stop()
        }
    }
}
