package io.poplarwood.bench.config

import io.poplarwood.fleet.FleetEvent
import io.poplarwood.fleet.config.ChangeResult
import io.poplarwood.fleet.virtual.VirtualCell
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** 1,000 changes in ten seconds over the services of a cell, through [acceptors] entries. */
internal class Burst(seed: Long, size: Int, private val acceptors: Int) {
    private val results = HashMap<String, ChangeResult>()
    private val acceptedAt = HashMap<String, Duration>()
    private val cell = VirtualCell(seed, size, onEvent = { _, event -> observe(event) })

    /** From acceptance to the report that a change is in force everywhere. */
    val toReport = ArrayList<Duration>()
    val accepted: Int get() = results.values.count { it is ChangeResult.Accepted }
    val conflicts: Int get() = results.values.count { it is ChangeResult.Conflict }
    var peakWrites = 0
        private set
    var peakReads = 0
        private set
    var allInForceAfter = Duration.ZERO
        private set

    private fun observe(event: FleetEvent) {
        val now = cell.timeline.now()
        if (event is FleetEvent.ChangeCompleted) {
            results[event.changeId] = event.result
            acceptedAt[event.changeId] = now
        }
        if (event is FleetEvent.InForceEverywhere) acceptedAt[event.changeId]?.let { toReport += now - it }
    }

    fun run(): Burst {
        cell.run(WARM_UP)
        val from = cell.timeline.now()
        repeat(CHANGES) { i -> cell.timeline.after(SPACING * i) { change(i) } }
        cell.run(SENDING)
        val head = { cell.entries.maxOf { it.node.applied } }
        while (cell.timeline.now() - from < LIMIT) {
            cell.run(SPACING)
            if (results.size == CHANGES && cell.entries.all { it.node.applied == head() }) break
        }
        allInForceAfter = cell.timeline.now() - from
        cell.run(AFTER)
        peakWrites = cell.store.load.peakWrites(from, cell.timeline.now())
        peakReads = cell.store.load.peakReads(from, cell.timeline.now())
        return this
    }

    private fun change(i: Int) {
        val service = i % SERVICES
        val at = cell.entries[service % acceptors]
        val expected = at.node.document(ConfigDocuments.service(service))?.version ?: 0
        cell.input(at) { change(ConfigDocuments.request("b$i", service, expected, i.toLong())) }
    }

    companion object {
        /** Changes of one burst. */
        const val CHANGES = 1_000
        private const val SERVICES = 52
        private val WARM_UP = 15.seconds
        private val SPACING = 10.milliseconds
        private val SENDING = 10.seconds
        private val LIMIT = 60.seconds
        private val AFTER = 5.seconds
    }
}
