package io.poplarwood.gateway.decision

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class CrashSuspectsSpec {
    private val suspects = CrashSuspects()

    /** Guards against a request that goes on crashing upstreams. */
    @Test
    fun `refuses a request after three lost upstreams`() {
        suspects.lost(7, "u1", 1.seconds)
        suspects.lost(7, "u2", 2.seconds)
        assertFalse(suspects.refuses(7, 3.seconds))
        suspects.lost(7, "u3", 3.seconds)
        assertTrue(suspects.refuses(7, 4.seconds))
        assertFalse(suspects.refuses(8, 4.seconds))
    }

    /** Guards against news of one loss that several entries tell. */
    @Test
    fun `counts a loss once`() {
        repeat(5) { suspects.lost(7, "u1", 1.seconds) }
        assertFalse(suspects.refuses(7, 2.seconds))
    }

    /** Guards against a common request that is condemned because upstreams crashed beside it. */
    @Test
    fun `clears a request that was answered`() {
        for (i in 1..3) suspects.lost(7, "u$i", i.seconds)
        suspects.answered(7)
        assertFalse(suspects.refuses(7, 4.seconds))
    }

    @Test
    fun `forgets after a minute`() {
        for (i in 1..3) suspects.lost(7, "u$i", i.seconds)
        assertFalse(suspects.refuses(7, 70.seconds))
    }
}
