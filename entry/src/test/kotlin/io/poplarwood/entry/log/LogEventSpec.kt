package io.poplarwood.entry.log

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import org.junit.jupiter.api.Test
import org.slf4j.LoggerFactory
import java.io.File
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class LogEventSpec {
    /** Guards against events that docs/events.md lacks, or lists after their removal. */
    @Test
    fun `is listed in the documentation`() {
        val rows = File("../docs/events.md").readLines().filter { it.startsWith("| PW-") }
        val events =
            LogEvent.entries.map {
                "| ${it.id} | ${it.level} | ${it.message} | ${it.fields.joinToString { f ->
                    "`$f`"
                }} |"
            }
        assertEquals(events, rows)
    }

    /** Guards against two events with the same number, and against a number outside the ranges. */
    @Test
    fun `has a unique number`() {
        assertEquals(LogEvent.entries.size, LogEvent.entries.map { it.number }.toSet().size)
        assertTrue(LogEvent.entries.all { it.number in 1000..5999 })
    }

    /** Guards against a log record without its number or values. */
    @Test
    fun `is logged with its number and fields`() {
        val logger = LoggerFactory.getLogger("spec") as Logger
        val appender = ListAppender<ILoggingEvent>().apply { start() }
        logger.addAppender(appender)
        EventLog(logger).log(LogEvent.LISTENING, "127.0.0.1", 80)
        assertEquals(
            "event=PW-1001 the callers' listener accepts connections host=127.0.0.1 port=80",
            appender.list.single().formattedMessage,
        )
    }
}
