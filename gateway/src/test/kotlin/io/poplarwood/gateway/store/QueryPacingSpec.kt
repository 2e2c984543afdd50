package io.poplarwood.gateway.store

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against stale entries that query the store all at once, or too late to learn of a change in time. */
class QueryPacingSpec {
    private val draws = List(100) { it / 100.0 }

    private fun pacing(entries: Int, takesCallers: Boolean = false, answers: Boolean = true, reads: Double = 6_000.0) =
        QueryPacing(entries, takesCallers, answers, reads)

    @Nested
    inner class `while the store answers` {
        @Test
        fun `all entries query within a second, at a twentieth of the allowed rate`() {
            for ((entries, reads) in listOf(18 to 2_000.0, 134 to 6_000.0)) {
                val period = pacing(entries, reads = reads).period
                assertTrue(period < 1.seconds, "$period for $entries entries")
                val queriesPerS = entries * 2_000_000.0 / period.inWholeMicroseconds
                assertTrue(queriesPerS < reads / 20 + 1, "$queriesPerS per second of $entries entries")
            }
        }

        @Test
        fun `entries that take callers query before the others`() {
            val lastOfThose = draws.maxOf { pacing(134, takesCallers = true).delay(it) }
            val firstOfOthers = draws.minOf { pacing(134, takesCallers = false).delay(it) }
            assertTrue(lastOfThose < firstOfOthers, "$lastOfThose, $firstOfOthers")
        }

        @Test
        fun `a low rate does not make few entries slower than in an outage`() =
            assertEquals(300.milliseconds, pacing(5, reads = 10.0).period)
    }

    @Test
    fun `an entry queries at a rate that falls with the number of entries while the store answers nobody`() =
        assertEquals(4.5.seconds, pacing(150, answers = false).delay(0.5))
}
