package io.poplarwood.bench.restores

import io.poplarwood.bench.api.BenchOptions
import io.poplarwood.entry.node.SystemTicker
import kotlinx.coroutines.runBlocking
import kotlin.test.Test
import kotlin.test.assertEquals

class RestoresBenchSpec {
    /**
     * Guards against changes, announcements and calls that depend on versions which a restored store gives out again.
     */
    @Test
    fun `a store that comes back older changes nothing that was acknowledged`() {
        val report = runBlocking { RestoresBench(SystemTicker).run(BenchOptions(seed = 1, quick = true)) }
        assertEquals(emptyList(), report.checks.filterNot { it.met })
    }
}
