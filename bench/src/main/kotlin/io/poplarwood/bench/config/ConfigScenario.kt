package io.poplarwood.bench.config

import io.poplarwood.fleet.virtual.VirtualCell
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A fault under which changes are made; it acts on the last entry of the cell or on the store. */
internal enum class ConfigScenario(val label: String, val operators: Int = 1, val begin: VirtualCell.() -> Unit) {
    CALM("no fault", begin = {}),
    SLOW_STORE("store answers after 500 ms", begin = { store.latency = 500.milliseconds }),
    LOST_ANSWERS("3 in 10 store answers lost", begin = { store.lostAnswerProbability = 0.3 }),
    LOSS("5% of messages lost", begin = { loss = 0.05 }),
    PAUSED("one entry paused 4 s in 6 s", begin = { pauseAgain() }),
    CUT_OFF("one entry cut off from peers", begin = { entries.last().partitioned = true }),
    ALONE("one entry cut off from peers and store", begin = {
        entries.last().partitioned = true
        entries.last().storeUnreachable = true
    }),
    TWO_OPERATORS("two operators at once", operators = 2, begin = {}),
}

private fun VirtualCell.pauseAgain() {
    pause(entries.last(), 4.seconds)
    timeline.after(6.seconds) { pauseAgain() }
}
