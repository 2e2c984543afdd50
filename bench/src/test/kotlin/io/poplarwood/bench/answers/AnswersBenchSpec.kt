package io.poplarwood.bench.answers

import io.poplarwood.bench.api.BenchOptions
import io.poplarwood.entry.node.SystemTicker
import kotlinx.coroutines.runBlocking
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class AnswersBenchSpec {
    /** Guards against answers of earlier runs or cut ones that pass as a caller's own, and against broken promises. */
    @Test
    fun `callers get the answers to their own sendings while upstreams answer twice`() {
        val report = runBlocking { AnswersBench(SystemTicker).run(BenchOptions(seed = 1, quick = true)) }
        assertEquals(emptyList(), report.checks.filterNot { it.met })
        assertTrue(report.tables.single().rows.all { (_, figures) -> figures[SERVED] > figures[SENT] / 2 })
    }

    private companion object {
        /** Columns of the bench's table. */
        const val SENT = 0
        const val SERVED = 1
    }
}
