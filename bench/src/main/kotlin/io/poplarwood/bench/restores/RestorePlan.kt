package io.poplarwood.bench.restores

import io.poplarwood.api.random.RandomSource
import io.poplarwood.bench.configurations.ConfigurationChanges
import io.poplarwood.bench.configurations.EntryVm
import io.poplarwood.platform.standin.StandInStore
import kotlin.concurrent.thread

/**
 * Restores [store] from copies of different age between and during changes, while [entries] are lost, cut off and
 * started again. What the operators wrote and the store lost is written again.
 */
internal class RestorePlan(
    private val entries: List<EntryVm>,
    private val store: StandInStore,
    private val changes: ConfigurationChanges,
    private val leaving: LeavingUpstreams,
    private val random: RandomSource,
) {
    private val disturbances = ArrayList<Thread>()
    private val copies = ArrayDeque<StandInStore.Copy>()

    /** Number of restores so far. */
    var restores: Int = 0
        private set

    /** Plays [steps] steps of about four seconds each. */
    fun run(steps: Int) {
        repeat(steps) { step(restoring = it % 2 == 1 || random.nextInt(3) == 0) }
        disturbances.forEach { it.join() }
        pause(AFTER_MS)
    }

    private fun step(restoring: Boolean) {
        copies += store.copy()
        if (copies.size > MAX_COPIES) copies.removeFirst()
        repeat(1 + random.nextInt(MAX_CHANGES)) {
            changes.change(emptyList())
            pause(random.nextInt(CHANGE_SPACING_MS))
        }
        if (random.nextInt(2) == 0) leaving.leave()
        if (random.nextInt(DISTURBANCE_KINDS) == 0) disturb()
        pause(random.nextInt(SETTLE_MS))
        if (restoring) restore()
        pause(STEP_PAUSE_MS)
    }

    private fun restore() {
        store.failureStatus = UNAVAILABLE
        pause(MIN_AWAY_MS + random.nextInt(AWAY_SPREAD_MS))
        store.restore(copies[random.nextInt(copies.size)])
        restores++
        store.failureStatus = null
        pause(random.nextInt(REWRITE_SPREAD_MS))
        // An operator may write the next version before the lost one, which then needs no writing any more.
        if (random.nextInt(2) == 0) changes.writeAgain() else changes.change(emptyList())
    }

    /** Loses or cuts off an entry at a moment around what follows. */
    private fun disturb() {
        val entry = entries[random.nextInt(entries.size)]
        val cut = random.nextInt(2) == 0
        val delayMs = random.nextInt(DISTURBANCE_SPREAD_MS)
        disturbances += thread {
            pause(delayMs)
            synchronized(entry) { if (cut) cut(entry) else restart(entry) }
        }
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
        const val UNAVAILABLE = 503
        const val MAX_COPIES = 3
        const val MAX_CHANGES = 4
        const val CHANGE_SPACING_MS = 600
        const val SETTLE_MS = 1_200
        const val MIN_AWAY_MS = 200
        const val AWAY_SPREAD_MS = 1_800
        const val REWRITE_SPREAD_MS = 1_000
        const val STEP_PAUSE_MS = 1_500
        const val DISTURBANCE_KINDS = 3
        const val DISTURBANCE_SPREAD_MS = 3_000
        const val DOWN_MS = 300
        const val CUT_MS = 2_000

        /** Longer than the bound for changes. */
        const val AFTER_MS = 4_000
    }
}
