package io.poplarwood.gateway.route

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.metrics.GatewayMetrics
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableList
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.slf4j.LoggerFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RouteProblemReporterSpec {
    private val logger = LoggerFactory.getLogger("poplarwood") as Logger
    private val lines = ListAppender<ILoggingEvent>().apply { start() }.also(logger::addAppender)
    private val metrics = GatewayMetrics()
    private val reporter = RouteProblemReporter(EventLog(), metrics)

    @AfterEach
    fun detach() {
        logger.detachAppender(lines)
    }

    private fun stateOf(version: Long, problems: List<RouteProblem>) =
        DesiredState(version, persistentMapOf(), RouteTable.EMPTY, CallerLimits(), problems.toImmutableList())

    private fun problem(number: Int, type: RouteProblemType, detail: String = "odd") =
        RouteProblem("a.example", "/r$number/", type, detail)

    private fun field(line: ILoggingEvent, name: String) = line.keyValuePairs.first { it.key == name }.value

    private fun gauge(type: RouteProblemType, count: Int) =
        "poplarwood_gateway_route_problems{problem=\"${type.name.lowercase()}\"} $count.0" in
            metrics.text().decodeToString()

    @Nested
    inner class `problems of a desired state` {
        /** Guards against a line for each change of an upstream, which reports the same desired state again. */
        @Test
        fun `are logged once for each version, by type, with route and kind`() {
            val problems = listOf(problem(1, RouteProblemType.UNKNOWN_KIND), problem(2, RouteProblemType.UNREADABLE))
            val first = stateOf(1, problems)
            repeat(3) { reporter.report(first) }
            assertEquals(listOf("PW-6112", "PW-6113"), lines.list.map { field(it, "event") })
            assertEquals("a.example/r1/ (odd)", field(lines.list.first(), "routes"))
            reporter.report(stateOf(2, problems))
            assertEquals(4, lines.list.size)
        }

        /** Guards against a line of megabytes. */
        @Test
        fun `give a line of bounded size, which has the number of all`() {
            val problems = List(10_000) { problem(it, RouteProblemType.UNKNOWN_KIND, "odd".repeat(1_000)) }
            reporter.report(stateOf(1, problems))
            val line = lines.list.single()
            assertTrue(field(line, "routes").toString().length < 4_000)
            assertEquals(10_000, field(line, "count"))
        }

        /** Guards against an alarm that stays on after the operator has corrected the routes. */
        @Test
        fun `are counted for the version in force only`() {
            reporter.report(stateOf(1, List(3) { problem(it, RouteProblemType.UNREADABLE) }))
            assertTrue(gauge(RouteProblemType.UNREADABLE, 3))
            reporter.report(stateOf(2, emptyList()))
            assertTrue(gauge(RouteProblemType.UNREADABLE, 0))
            assertEquals(1, lines.list.size)
        }
    }
}
