package io.poplarwood.fleet

import io.poplarwood.api.random.SplitMix
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FaultPairsSpec {
    private enum class Fault {
        LOSS,
        PAUSE,
        CUT_OFF,
        STORE_CUT,
        STORE_DOWN,
        STORE_SLOW,
        LOST_ANSWERS,
        TWO_OPERATORS,
        RESTART,
    }

    @Nested
    inner class `any two faults at once` {
        @Test
        fun `leave no entry accepting requests with an outdated configuration`() {
            // Guards invariant 7: an accepted change is in force everywhere within seconds and is never reverted.
            var accepted = 0
            for (a in Fault.entries) {
                for (b in Fault.entries.filter { it > a }) {
                    repeat(SEEDS) { i -> accepted += run(a, b, seed = a.ordinal * 1_000L + b.ordinal * 100 + i) }
                }
            }
            assertTrue(accepted > 1_000, "only $accepted changes were accepted")
        }
    }

    private fun run(a: Fault, b: Fault, seed: Long): Int {
        val run = FaultRun(seed)
        val two = a == Fault.TWO_OPERATORS || b == Fault.TWO_OPERATORS
        run.cell.run(8.seconds)
        schedule(run, a, seed, from = 1.seconds)
        schedule(run, b, seed + 1, from = 4.seconds)
        run.runWithOperators(20.seconds, two)
        run.checkConverged()
        return run.acceptedCount
    }

    /** Injects [fault] for 10 s, starting after [from]. */
    private fun schedule(run: FaultRun, fault: Fault, seed: Long, from: Duration) {
        val cell = run.cell
        val random = SplitMix(seed)
        val victim = run.anyEntry()

        fun between(on: () -> Unit, off: () -> Unit) {
            cell.timeline.after(from, on)
            cell.timeline.after(from + 10.seconds, off)
        }
        when (fault) {
            Fault.LOSS -> between({ cell.loss = 0.2 }, { cell.loss = 0.0 })
            Fault.PAUSE -> repeat(4) {
                val length = (200 + random.nextInt(6_000)).milliseconds
                cell.timeline.after(from + (it * 2_500).milliseconds) { cell.pause(run.anyEntry(), length) }
            }
            Fault.CUT_OFF -> between({ victim.partitioned = true }, { victim.partitioned = false })
            Fault.STORE_CUT -> between(
                { cell.entries.forEach { it.storeUnreachable = random.nextInt(2) == 0 } },
                { cell.entries.forEach { it.storeUnreachable = false } },
            )
            Fault.STORE_DOWN -> between({ cell.store.down = true }, { cell.store.down = false })
            Fault.STORE_SLOW -> between({ cell.store.latency = 1_500.milliseconds }, {
                cell.store.latency =
                    10.milliseconds
            })
            Fault.LOST_ANSWERS -> between(
                { cell.store.lostAnswerProbability = 0.3 },
                { cell.store.lostAnswerProbability = 0.0 },
            )
            Fault.TWO_OPERATORS -> Unit
            Fault.RESTART -> repeat(4) {
                cell.timeline.after(from + (it * 2_500).milliseconds) { run.restart(run.anyEntry()) }
            }
        }
    }

    private companion object {
        const val SEEDS = 3
    }
}
