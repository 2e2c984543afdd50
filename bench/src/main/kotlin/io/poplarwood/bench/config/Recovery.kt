package io.poplarwood.bench.config

import io.poplarwood.fleet.FleetEvent
import io.poplarwood.fleet.config.ChangeResult
import io.poplarwood.fleet.virtual.VirtualCell
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** An outage of the store, which returns at [rate] operations a second, with or without the entries' limits. */
internal class Recovery(seed: Long, size: Int, limited: Boolean, private val rate: Double) {
    private var result: ChangeResult? = null
    private var settledAt: Duration? = null
    private val cell = VirtualCell(seed, size, limited = limited, onEvent = { _, event -> observe(event) })

    /** From the store's return to the acceptance of a change made 1 s after it; infinite when it was not accepted. */
    var accepted = Duration.INFINITE
        private set
    var peakReads = 0
        private set

    /** Operations served after their client had given up, within a minute of the return. */
    var late = 0
        private set

    /** Operations received within a minute of the return. */
    var received = 0
        private set

    private fun observe(event: FleetEvent) {
        if (event !is FleetEvent.ChangeCompleted || event.changeId != PROBE) return
        result = event.result
        settledAt = cell.timeline.now()
    }

    fun run(): Recovery {
        cell.run(WARM_UP)
        repeat(SERVICES) { i -> cell.input(cell.entries[0]) { change(ConfigDocuments.request("d$i", i, 0, 1)) } }
        cell.run(WARM_UP)
        cell.store.down = true
        cell.run(OUTAGE)
        cell.store.down = false
        cell.store.rate = rate
        val returned = cell.timeline.now()
        val lateBefore = cell.store.load.late
        cell.timeline.after(1.seconds) {
            cell.input(cell.entries[1]) { change(ConfigDocuments.request(PROBE, 0, 1, 2)) }
        }
        cell.run(WATCH)
        val now = cell.timeline.now()
        if (result is ChangeResult.Accepted) accepted = (settledAt ?: now) - returned
        late = cell.store.load.late - lateBefore
        peakReads = cell.store.load.peakReads(returned, now)
        received = cell.store.load.totalReads(returned, now) + cell.store.load.totalWrites(returned, now)
        return this
    }

    private companion object {
        const val PROBE = "probe"
        const val SERVICES = 52
        val WARM_UP = 15.seconds
        val OUTAGE = 20.seconds
        val WATCH = 60.seconds
    }
}
