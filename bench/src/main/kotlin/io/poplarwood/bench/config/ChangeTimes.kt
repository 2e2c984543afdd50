package io.poplarwood.bench.config

import io.poplarwood.fleet.FleetEvent
import io.poplarwood.fleet.config.ChangeResult
import io.poplarwood.fleet.virtual.VirtualCell
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Makes changes under one scenario and takes their times. */
internal class ChangeTimes(seed: Long, size: Int, private val scenario: ConfigScenario) {
    private val results = HashMap<String, ChangeResult>()
    private val settledAt = HashMap<String, Duration>()
    private val reported = HashMap<Long, Duration>()
    private val cell = VirtualCell(seed, size, onEvent = { _, event -> observe(event) })

    /** From the operator's request to its acceptance. */
    val toAccept = ArrayList<Duration>()

    /** From acceptance until no entry takes work without the change. */
    val toInForce = ArrayList<Duration>()

    /** From acceptance until the accepting entry reports the change as in force everywhere. */
    val toReport = ArrayList<Duration>()

    /** Requests that were not accepted. */
    var refused = 0
        private set

    /** Changes that an entry took work without after they were reported as in force everywhere. */
    var early = 0
        private set

    private fun observe(event: FleetEvent) {
        if (event is FleetEvent.ChangeCompleted) {
            results[event.changeId] = event.result
            settledAt[event.changeId] = cell.timeline.now()
        }
        if (event is FleetEvent.InForceEverywhere) reported[event.sequence] = cell.timeline.now()
    }

    fun run(changes: Int): ChangeTimes {
        cell.run(WARM_UP)
        scenario.begin(cell)
        repeat(changes) { change(it) }
        return this
    }

    private fun change(number: Int) {
        val from = cell.timeline.now()
        val ids = List(scenario.operators) { operator ->
            val at = cell.entries[(number + operator * 3) % (cell.entries.size - 1)]
            val expected = at.node.document(ConfigDocuments.service(0))?.version ?: 0
            val id = "c$number.$operator"
            cell.input(at) { change(ConfigDocuments.request(id, 0, expected, number * 10L + operator)) }
            id
        }
        while (ids.any { it !in results } && cell.timeline.now() - from < GIVE_UP) cell.run(STEP)
        val accepted = ids.filter { results[it] is ChangeResult.Accepted }
        refused += ids.size - accepted.size
        accepted.firstOrNull()?.let { id ->
            val sequence = (results.getValue(id) as ChangeResult.Accepted).sequence
            follow(sequence, from, settledAt.getValue(id))
        }
        cell.run(PAUSE)
    }

    /** Watches long enough for an entry that has not heard of the change to lose its freshness. */
    private fun follow(sequence: Long, from: Duration, at: Duration) {
        toAccept += at - from
        var last = at
        while (cell.timeline.now() - at < WATCH) {
            val working = cell.entries.any { it.takesWork && it.node.applied < sequence }
            if (working) last = cell.timeline.now() + STEP
            if (working && sequence in reported) early++
            cell.run(STEP)
        }
        toInForce += last - at
        reported[sequence]?.let { toReport += it - at }
    }

    private companion object {
        val WARM_UP = 15.seconds
        val STEP = 10.milliseconds
        val PAUSE = 500.milliseconds
        val WATCH = 6.seconds
        val GIVE_UP = 15.seconds
    }
}
