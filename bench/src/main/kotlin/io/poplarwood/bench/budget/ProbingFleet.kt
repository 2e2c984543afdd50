package io.poplarwood.bench.budget

import io.poplarwood.api.random.SplitMix
import io.poplarwood.bench.virtual.EventLoop
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Entries that want to probe at every tick, under [trouble], in virtual time.
 *
 * @param seats configured maximum of entries
 * @param limiter builds the limiter of an entry that starts; its argument is the entry's seat
 */
internal class ProbingFleet(
    private val seats: Int,
    private val trouble: Trouble,
    seed: Long,
    private val limiter: (EventLoop, Int) -> ProbeLimiter,
) {
    private class Entry(val limiter: ProbeLimiter) {
        var pausedUntil = Duration.ZERO
        var decided = false
    }

    private val loop = EventLoop()
    private val random = SplitMix(seed)
    private val entries = MutableList<Entry?>(seats) { start(it) }

    /** Times at which probes left. */
    val sent: MutableList<Duration> = ArrayList()

    fun run(length: Duration) {
        loop.every(TICK) {
            for (seat in 0 until seats) step(seat)
            true
        }
        loop.runUntil(length)
    }

    private fun start(seat: Int) = Entry(limiter(loop, seat))

    private fun step(seat: Int) {
        if (random.nextDouble() < trouble.changesPerTick) {
            entries[seat] = if (entries[seat] == null || random.nextInt(2) == 0) start(seat) else null
        }
        val entry = entries[seat] ?: return
        val now = loop.now()
        if (now < entry.pausedUntil) return
        // A probe leaves a tick after its decision; a pause in between delays it.
        if (entry.decided) sent += now
        entry.decided = entry.limiter.take()
        if (random.nextDouble() < trouble.pausesPerTick) entry.pausedUntil = now + LONGEST_PAUSE * random.nextDouble()
    }

    private companion object {
        val TICK = 10.milliseconds
        val LONGEST_PAUSE = 5.seconds
    }
}
