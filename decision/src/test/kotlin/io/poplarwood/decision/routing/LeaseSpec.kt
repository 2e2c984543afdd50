package io.poplarwood.decision.routing

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.SplitMix
import io.poplarwood.api.work.Rank
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class LeaseSpec {
    private val withoutUnleasedAttempts = RouterSettings(Zone("z"), shedsPerRequest = -1.0)

    /** Starts and ends attempts at random and counts results; attempts beyond [slots] at one upstream are shed. */
    private fun applyRandomLoad(
        cell: RouterCell,
        random: SplitMix,
        steps: Int,
        slots: Int = Int.MAX_VALUE,
    ): LoadResult {
        val running = ArrayList<Pair<Int, Reservation.Granted>>()
        val inFlight = HashMap<UpstreamId, Int>()
        val result = LoadResult()
        repeat(steps) {
            cell.advance(10.milliseconds)
            running.removeAll { (at, granted) ->
                val ended = random.nextInt(3) == 0
                if (ended) {
                    inFlight.merge(granted.upstream, -1, Int::plus)
                    cell.routers[at].endAttempt(granted, AttemptResult.ANSWERED)
                    result.answered++
                }
                ended
            }
            repeat(random.nextInt(12)) {
                val at = random.nextInt(cell.routers.size)
                if (cell.refs[at] in cell.stopped) return@repeat
                val granted = cell.routers[at].reserveSlot()
                if (granted == null) {
                    cell.routers[at].updateBacklog(intArrayOf(2, 0, 0))
                } else {
                    cell.routers[at].updateBacklog(intArrayOf(0, 0, 0))
                    if (inFlight.merge(granted.upstream, 1, Int::plus)!! > slots) {
                        inFlight.merge(granted.upstream, -1, Int::plus)
                        cell.routers[at].endAttempt(granted, AttemptResult.BUSY)
                        result.shed++
                    } else {
                        running += at to granted
                    }
                }
                result.maxInFlight = maxOf(result.maxInFlight, inFlight.values.maxOrNull() ?: 0)
                cell.deliver()
            }
        }
        return result
    }

    private class LoadResult(var maxInFlight: Int = 0, var answered: Int = 0, var shed: Int = 0)

    /** Returns a cell whose leases have been issued and whose entries may not dispatch without a lease. */
    private fun settledCell(entries: Int, upstreams: Int, seed: Int): RouterCell {
        val cell = RouterCell(entries, upstreams, seed = seed.toLong(), settings = withoutUnleasedAttempts)
        cell.advance(3.seconds)
        for (r in cell.routers) {
            repeat(25) { r.reserveSlot(Rank.URGENT)?.let { granted -> r.endAttempt(granted, AttemptResult.ANSWERED) } }
        }
        cell.advance(3.seconds)
        return cell
    }

    @Nested
    inner class `entries with equal views` {
        /** Guards against leases that are issued twice, which would overload upstreams without any fault. */
        @Test
        fun `never have more requests in flight than slots`() = runTest {
            checkAll(PropTestConfig(seed = 11, iterations = 20), Arb.int(2..6), Arb.int(2..8), Arb.int()) {
                entries,
                upstreams,
                seed,
                ->
                val cell = settledCell(entries, upstreams, seed)
                val result = applyRandomLoad(cell, SplitMix(seed.toLong()), 600)
                assertTrue(result.maxInFlight <= cell.slots, "${result.maxInFlight} in flight at ${cell.slots} slots")
                assertTrue(result.answered > 100, "only ${result.answered} answered")
            }
        }

        /** Guards against leases that are lost while they move, which would waste capacity permanently. */
        @Test
        fun `hold every lease once all moves have ended`() = runTest {
            checkAll(PropTestConfig(seed = 12, iterations = 10), Arb.int(2..6), Arb.int(2..8), Arb.int()) {
                entries,
                upstreams,
                seed,
                ->
                val cell = settledCell(entries, upstreams, seed)
                applyRandomLoad(cell, SplitMix(seed.toLong()), 300)
                cell.advance(5.seconds)
                for (id in cell.ids) assertEquals(cell.slots, cell.held(id), "leases of $id")
            }
        }
    }

    @Nested
    inner class `an entry that stops` {
        /** Guards against capacity that stays lost with the entry that held it. */
        @Test
        fun `has its leases reissued within 3 s`() = runTest {
            checkAll(PropTestConfig(seed = 13, iterations = 10), Arb.int(2..6), Arb.int()) { entries, seed ->
                val cell = settledCell(entries, 12, seed)
                applyRandomLoad(cell, SplitMix(seed.toLong()), 100)
                val stopped = cell.refs.last()
                cell.stopped += stopped
                val left = (cell.refs - stopped).toImmutableList()
                cell.routers.dropLast(1).forEach { it.updateEntries(left) }
                cell.advance(3.seconds)
                for (id in cell.ids) assertTrue(cell.held(id) >= cell.slots, "${cell.held(id)} leases of $id")
            }
        }
    }

    @Nested
    inner class `entries whose views differ` {
        /** Guards against a wrong view of the entries that does more harm than shed requests. */
        @Test
        fun `cause sheds and go on serving`() {
            val cell = settledCell(4, 6, 5)
            val firstHalf = cell.refs.take(2).toImmutableList()
            cell.routers[0].updateEntries(firstHalf)
            cell.routers[1].updateEntries(firstHalf)
            cell.routers[2].updateEntries(cell.refs.drop(2).toImmutableList())
            val result = applyRandomLoad(cell, SplitMix(5), 1000, cell.slots)
            assertTrue(result.maxInFlight <= cell.slots + 1)
            assertTrue(result.answered > 1000, "only ${result.answered} answered")
        }
    }

    @Nested
    inner class `an entry that was paused` {
        /** Guards against the use of leases that have been issued to others meanwhile. */
        @Test
        fun `drops its leases`() {
            val cell = settledCell(1, 4, 6)
            cell.stopped += cell.refs[0]
            cell.advance(3.seconds)
            cell.stopped.clear()
            cell.routers[0].tick()
            val held = cell.routers[0].snapshot().sumOf { it.limit }
            assertTrue(held == 0, "$held leases kept")
        }
    }
}
