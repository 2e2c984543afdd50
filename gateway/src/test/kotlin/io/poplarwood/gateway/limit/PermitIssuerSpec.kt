package io.poplarwood.gateway.limit

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PermitIssuerSpec {
    private val issuer = PermitIssuer<String> { 500.milliseconds }
    private val start = 10.seconds

    private fun ask(asker: String, at: Duration, priority: Int = 0, count: Int = 1) =
        issuer.add("k", PermitRequest(asker, priority, count, at), at)

    private fun issue(at: Duration, perSecond: Double = 2.0, recentSends: Int = 0) =
        issuer.issue("k", perSecond, recentSends, at)

    @Nested
    inner class `permits of one key` {
        @Test
        fun `keep to its rate however many ask`() {
            var issued = 0
            for (ms in 0..10_000 step 10) {
                val now = start + ms.milliseconds
                if (ms % 100 == 0) for (i in 1..20) ask("e$i", now)
                issued += issue(now).sumOf { it.count }
            }
            assertTrue(issued in 19..20, "$issued in 10 s")
        }

        @Test
        fun `go to the most urgent request, then to the one that waits longest`() {
            val order = ArrayList<String>()
            for (ms in 0..1_500 step 100) {
                val now = start + ms.milliseconds
                if ("e1" !in order) ask("e1", now, priority = 1)
                if (ms >= 100 && "e2" !in order) ask("e2", now)
                if (ms >= 200 && "e3" !in order) ask("e3", now)
                order += issue(now).map { it.asker }
            }
            assertEquals(listOf("e2", "e3", "e1"), order)
        }

        @Test
        fun `are not issued for requests that lapsed`() {
            ask("e1", start)
            assertEquals(emptyList(), issue(start + 600.milliseconds))
            assertFalse(issuer.hasRequests("k"))
            assertNull(issuer.nextIssueIn("k", 2.0, start + 600.milliseconds))
        }

        /** Guards against a repeated request that lapses with the first one. */
        @Test
        fun `are issued for a request that was repeated`() {
            ask("e1", start)
            ask("e1", start + 400.milliseconds)
            assertEquals(listOf("e1"), issue(start + 800.milliseconds).map { it.asker })
        }

        @Test
        fun `are issued in batches at a high rate`() {
            ask("e1", start, count = 5)
            val issued = issue(start + 100.milliseconds, perSecond = 100.0)
            assertEquals(listOf(IssuedPermits("e1", 0, 5)), issued)
        }
    }

    @Nested
    inner class `a window in which much was sent already` {
        /** Guards against a limit that is exceeded by requests sent before it was named or lowered. */
        @Test
        fun `gets no permits until its sends fit the limit`() {
            ask("e1", start)
            assertEquals(emptyList(), issue(start + 500.milliseconds, recentSends = 40))
            ask("e1", start + 500.milliseconds)
            assertEquals(1, issue(start + 600.milliseconds, recentSends = 10).size)
        }

        /** Guards against permits that are in use but not yet reported as sent. */
        @Test
        fun `counts permits that were issued just now`() {
            val issued = (1..40).flatMap { n ->
                val now = start + 60.seconds + (n * 10).milliseconds
                ask("e1", now, count = 50)
                issue(now, perSecond = 100.0, recentSends = 550)
            }
            assertEquals(3, issued.sumOf { it.count })
        }
    }

    @Nested
    inner class `a key that another issuer takes over` {
        @Test
        fun `is forgotten, and starts with an empty bucket when it returns`() {
            ask("e1", start)
            issuer.release("k")
            assertFalse(issuer.hasRequests("k"))
            ask("e1", start + 5.seconds)
            assertEquals(emptyList(), issue(start + 5.seconds))
        }
    }
}
