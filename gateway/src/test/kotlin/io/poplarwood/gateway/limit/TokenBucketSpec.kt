package io.poplarwood.gateway.limit

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TokenBucketSpec {
    private val start = 10.seconds
    private val bucket = TokenBucket(start)

    private fun takenAt(after: Duration, perSecond: Double): Int {
        var count = 0
        while (bucket.tryTake(perSecond, start + after)) count++
        return count
    }

    @Nested
    inner class `a new bucket` {
        /** Guards against an issuer that spends a full bucket after its predecessor has just spent one. */
        @Test
        fun `is empty and fills at its rate`() {
            assertFalse(bucket.tryTake(2.0, start))
            assertEquals(500.milliseconds, bucket.timeUntilToken(2.0, start))
            assertTrue(bucket.tryTake(2.0, start + 500.milliseconds))
        }
    }

    @Nested
    inner class `a bucket that was not used for long` {
        @Test
        fun `holds a single token at a low rate`() = assertEquals(1, takenAt(60.seconds, 2.0))

        @Test
        fun `holds a tenth of a second of a high rate`() = assertEquals(10, takenAt(60.seconds, 100.0))

        /** Guards against the tokens of a higher rate that are spent after the rate was lowered. */
        @Test
        fun `holds no more than its rate at the moment allows`() {
            bucket.timeUntilToken(100.0, start + 60.seconds)
            assertEquals(1, takenAt(60.seconds, 2.0))
        }
    }
}
