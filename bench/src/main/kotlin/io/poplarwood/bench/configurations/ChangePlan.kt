package io.poplarwood.bench.configurations

import io.poplarwood.api.random.RandomSource
import kotlin.concurrent.thread

/** Plays the series of changes against [entries]; [begin] is told when each series begins. */
internal class ChangePlan(
    private val entries: List<EntryVm>,
    private val changes: ConfigurationChanges,
    private val random: RandomSource,
    private val begin: (Series) -> Unit,
) {
    private val disturbances = ArrayList<Thread>()

    /** All series, about 55 s; with [quick] two large changes and a mixture, about 22 s. */
    fun run(quick: Boolean) {
        play(Series.CALM) { }
        play(Series.LARGE) { repeat(if (quick) 2 else LARGE_CHANGES) { large().also { pause(LARGE_SPACING_MS) } } }
        if (!quick) {
            play(Series.FREQUENT) { frequent(FREQUENT_CHANGES) }
            play(Series.RESTART) { during(::restart) { large() } }
            play(Series.CUT) { during(::cut) { large() } }
            play(Series.FEW) { repeat(FEW_CHANGES) { few().also { pause(FEW_SPACING_MS) } } }
        }
        play(Series.COMBINED) { repeat(if (quick) QUICK_STEPS else STEPS) { combined() } }
        disturbances.forEach { it.join() }
    }

    private fun play(series: Series, steps: () -> Unit) {
        begin(series)
        steps()
        pause(AFTER_MS)
    }

    private fun large() = changes.add(LARGE_ROUTES)

    private fun few() = changes.change(List(CHANGED_ROUTES) { random.nextDouble() })

    private fun frequent(count: Int) = repeat(count) {
        changes.add(FREQUENT_ROUTES)
        pause(FREQUENT_SPACING_MS)
    }

    private fun combined() {
        val step = listOf(::large, ::large, ::few, { frequent(FREQUENT_IN_STEP) })[random.nextInt(STEP_KINDS)]
        when (random.nextInt(DISTURBANCE_KINDS)) {
            0 -> during(::restart, step)
            1 -> during(::cut, step)
            else -> step()
        }
        pause(MIN_STEP_PAUSE_MS + random.nextInt(STEP_PAUSE_SPREAD_MS))
    }

    /** Begins the [disturbance] of one entry up to half a second before or after [step]. */
    private fun during(disturbance: (EntryVm) -> Unit, step: () -> Unit) {
        val entry = entries[random.nextInt(entries.size)]
        val leadMs = random.nextInt(2 * MAX_LEAD_MS) - MAX_LEAD_MS
        disturbances += thread {
            pause(maxOf(0, -leadMs))
            synchronized(entry) { disturbance(entry) }
        }
        pause(maxOf(0, leadMs))
        step()
    }

    private fun restart(entry: EntryVm) {
        entry.kill()
        pause(DOWN_MS)
        entry.start()
    }

    private fun cut(entry: EntryVm) {
        entry.link.isCut = true
        pause(CUT_MS)
        entry.link.isCut = false
    }

    private fun pause(ms: Int) = Thread.sleep(ms.toLong())

    private companion object {
        const val LARGE_ROUTES = 1_900
        const val LARGE_CHANGES = 3
        const val LARGE_SPACING_MS = 3_000
        const val FREQUENT_ROUTES = 40
        const val FREQUENT_CHANGES = 10
        const val FREQUENT_IN_STEP = 3
        const val FREQUENT_SPACING_MS = 300
        const val FEW_CHANGES = 3
        const val FEW_SPACING_MS = 1_500

        /** With the route that is added, ten. */
        const val CHANGED_ROUTES = 9
        const val STEPS = 6
        const val QUICK_STEPS = 3
        const val STEP_KINDS = 4
        const val DISTURBANCE_KINDS = 4
        const val MIN_STEP_PAUSE_MS = 300
        const val STEP_PAUSE_SPREAD_MS = 1_700
        const val MAX_LEAD_MS = 500
        const val DOWN_MS = 300
        const val CUT_MS = 2_000

        /** Longer than the bound, so that late answers count for the series that caused them. */
        const val AFTER_MS = 3_500
    }
}
