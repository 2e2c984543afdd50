package io.poplarwood.bench.flood

import io.poplarwood.bench.api.BenchOptions
import io.poplarwood.decision.dispatch.DispatcherSettings
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.time.Duration.Companion.minutes

internal class FloodTrialSpec {
    @Test
    fun trial() = runTest(timeout = 5.minutes) {
        for (r in listOf(0.02, 0.04)) {
            println("## reserve $r")
            FloodPrinter.print(FloodBench(FloodSettings(dispatcher = DispatcherSettings(urgentReserve = r))).run(BenchOptions(seed = 1, quick = true)))
        }
    }
}
