package io.poplarwood.decision.crash

import io.poplarwood.api.id.UpstreamId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class CrashTableSpec {
    private val table = CrashTable()
    private val first = UpstreamId("127.0.0.1:1", "a")
    private val second = UpstreamId("127.0.0.1:2", "b")

    @Nested
    inner class `a request that upstreams answer` {
        /** Guards against holding common requests for seconds whenever an upstream that ran one of them is lost. */
        @Test
        fun `stays unrestricted when an upstream is lost while it runs`() {
            table.recordAnswer(FINGERPRINT, first, startedAt = 0.seconds, now = 10.milliseconds)
            table.recordLoss(FINGERPRINT, second, startedAt = 20.milliseconds, now = 30.milliseconds)
            assertEquals(CrashVerdict.Allow, table.verdict(FINGERPRINT, 40.milliseconds))
        }
    }

    @Nested
    inner class `a request that was never answered` {
        /** Guards against a crashing request that runs again before other entries can have reported it. */
        @Test
        fun `waits after the first loss`() {
            table.recordLoss(FINGERPRINT, first, startedAt = 0.seconds, now = 10.milliseconds)
            assertIs<CrashVerdict.Wait>(table.verdict(FINGERPRINT, 20.milliseconds))
        }
    }

    private companion object {
        const val FINGERPRINT = 7L
    }
}
