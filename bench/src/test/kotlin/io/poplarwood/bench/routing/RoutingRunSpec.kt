package io.poplarwood.bench.routing

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

internal class RoutingRunSpec {
    private val steady = Scenarios.all.first()

    @Nested
    inner class `two runs with one seed` {
        /** Guards against a verdict that varies between runs of the bench. */
        @Test
        fun `give the same figures`() {
            val runs = List(2) { RoutingRun(steady, 7, 2.seconds).run(Policies.shipped(7)) }
            assertEquals(runs[0].p99, runs[1].p99)
            assertEquals(runs[0].extraAttempts, runs[1].extraAttempts)
        }
    }

    @Nested
    inner class `the shipped policy under steady load` {
        /** Guards against changes of the router that break a target between full runs of the bench. */
        @Test
        fun `serves every request within the target of extra attempts`() {
            val figures = RoutingRun(steady, 3, 5.seconds).run(Policies.shipped(3))
            assertTrue(figures.extraAttempts <= 0.2, "extra attempts ${figures.extraAttempts}")
            assertEquals(0.0, figures.unanswered)
        }
    }
}
